/** A call of the simulation: what its runners would answer, which runs were made, and what of it may reach the caller. */
import type { SeededRandomSource } from "../../../src/runtime/random-source.ts";
import type { Route } from "../../../src/scheduling/routing/routing-configuration.ts";
import { type DrawnRun, drawRun, wholeRun } from "./drawn-run.ts";

/** Runs after this number are whole, so that a call that may be repeated ends well. */
export const MAX_BROKEN_RUNS = 3;
const MAX_EVENTS = 6;
const MAX_BODY_BYTES = 400;

/** A run and where it ended. */
interface MadeRun extends DrawnRun {
  /** Whole events that the caller may have at its end. */
  readonly events: number;
  /** Whether it ended between two events, or behind the last one. */
  readonly isAtBoundary: boolean;
}

export class SimulatedCall {
  readonly id: string;
  readonly route: Route;
  readonly version: "1.0" | "1.1";
  /** The events of a stream, or the body of a plain answer as the only part. */
  readonly parts: readonly string[];
  readonly runs: MadeRun[] = [];
  /** The output that was stored as a turn; undefined if none was. */
  retained: string | undefined;
  readonly #random: SeededRandomSource;

  constructor(id: string, route: Route, version: "1.0" | "1.1", random: SeededRandomSource) {
    this.id = id;
    this.route = route;
    this.version = version;
    this.#random = random;
    const lineEnd = random.unit() < 0.5 ? "\n" : "\r\n";
    this.parts = this.isStream
      ? Array.from({ length: 1 + random.below(MAX_EVENTS) }, (_, index) =>
          [`id: ${index + 1}`, `data: ${id}-${index + 1}`, "", ""].join(lineEnd),
        )
      : [`${id} ${"x".repeat(random.below(MAX_BODY_BYTES))}`];
  }

  get isStream(): boolean {
    return this.route.kind === "streaming";
  }

  /** The output of a whole turn. */
  get output(): string {
    return this.parts.map((_, index) => `${this.id}-${index + 1}\n`).join("");
  }

  /** Draws and records the next run, which leaves out the events up to `lastEventId`. */
  nextRun(lastEventId: number): DrawnRun {
    const parts = this.parts.slice(lastEventId);
    const text = parts.join("");
    const boundaries = parts.map((_, index) => parts.slice(0, index).join("").length);
    const run = this.runs.length < MAX_BROKEN_RUNS ? drawRun(text, boundaries, this.#random) : wholeRun(text);
    const whole = boundaries.filter((start, index) => run.sent.length >= start + (parts[index] ?? "").length);
    const isAtBoundary = run.isWhole || boundaries.includes(run.sent.length);
    this.runs.push({ ...run, events: lastEventId + whole.length, isAtBoundary });
    return run;
  }

  /**
   * Whether a stream that ends behind so many events may be told to be complete: it is, the runner's framing says so, or the
   * connection ended there and nothing shows that more would follow.
   */
  mayLookComplete(events: number): boolean {
    if (events === this.parts.length) return true;
    const there = this.runs.filter((run) => run.events === events && run.isAtBoundary);
    if (there.some((run) => !run.isUnframed && run.end === "framed")) return true;
    const isKnownToGoOn = this.runs.some((run) => run.events === events && !run.isAtBoundary);
    if (isKnownToGoOn) return false;
    const ended = there.filter((run) => run.isUnframed && run.end !== "reset");
    return ended.length >= (this.route.resumable && events > 0 ? 2 : 1) && events > 0;
  }
}
