import { Counter, collectDefaultMetrics, Gauge, type Metric, Registry } from "prom-client";

/** Anything whose metrics can be read as Prometheus text. */
export interface MetricsSource {
  render(): Promise<{ readonly contentType: string; readonly text: string }>;
}

/** A number that is read when the metrics are. */
export interface MetricDefinition {
  readonly name: string;
  readonly help: string;
  /** Counters only grow; gauges go both ways. */
  readonly type: "counter" | "gauge";
  read(): number;
}

/** The metrics of one process. Names begin with `tulipwheel_`. */
export class ProcessMetrics implements MetricsSource {
  readonly #registry = new Registry();

  constructor(definitions: readonly MetricDefinition[]) {
    collectDefaultMetrics({ register: this.#registry });
    for (const definition of definitions) this.#define(definition);
  }

  /** Adds a metric that keeps its own numbers. */
  register(metric: Metric): void {
    this.#registry.registerMetric(metric);
  }

  async render(): Promise<{ contentType: string; text: string }> {
    return { contentType: this.#registry.contentType, text: await this.#registry.metrics() };
  }

  #define({ name, help, type, read }: MetricDefinition): void {
    const common = { name: `tulipwheel_${name}`, help, registers: [this.#registry] };
    if (type === "gauge") {
      new Gauge({
        ...common,
        collect() {
          this.set(read());
        },
      });
      return;
    }
    new Counter({
      ...common,
      collect() {
        this.reset();
        this.inc(read());
      },
    });
  }
}
