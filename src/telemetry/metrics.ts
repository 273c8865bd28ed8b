import { Counter, collectDefaultMetrics, Gauge, Registry } from "prom-client";

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
    for (const definition of definitions) this.#register(definition);
  }

  async render(): Promise<{ contentType: string; text: string }> {
    return { contentType: this.#registry.contentType, text: await this.#registry.metrics() };
  }

  #register({ name, help, type, read }: MetricDefinition): void {
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
