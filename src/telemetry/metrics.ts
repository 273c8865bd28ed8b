import { Counter, collectDefaultMetrics, Gauge, type Metric, Registry } from "prom-client";

/** A source of metrics in the Prometheus text format. */
export interface MetricsSource {
  render(): Promise<{ readonly contentType: string; readonly text: string }>;
}

/** A metric whose value is read when the metrics are collected. */
export interface MetricDefinition {
  readonly name: string;
  readonly help: string;
  /** A counter only increases; a gauge can also decrease. */
  readonly type: "counter" | "gauge";
  read(): number;
}

/** The metrics of one process. All names start with `tulipwheel_`. */
export class ProcessMetrics implements MetricsSource {
  readonly #registry = new Registry();

  constructor(definitions: readonly MetricDefinition[]) {
    collectDefaultMetrics({ register: this.#registry });
    for (const definition of definitions) this.#define(definition);
  }

  /** Adds a metric that stores its own values. */
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
