import type { AnswerEnding } from "../../../standins/platform/answer-ending.ts";
import type { ExecutedRequest, RunnerStandin } from "../../../standins/platform/runner-standin.ts";
import { SoakFault } from "./soak-fault.ts";

/** Fraction of the answers that end in the usual way. */
const USUAL_FRACTION = 0.4;
/** A cut after fewer bytes lies inside each event. */
const MIN_EVENT_BYTES = 20;
/** A cut so many bytes before the end lies inside each event, in its blank line or before that. */
const MAX_BYTES_BEFORE_END = 3;
const ENGINE_EVENTS = 4;

/** Lets some runners leave the framing out of their answers, break them off at any byte, or both, each in another way. */
export class BrokenOffAnswers extends SoakFault {
  #runners: readonly RunnerStandin[] = [];

  override begin(): string {
    const all = [...this.cluster.engines, ...this.cluster.services];
    this.#runners = all.filter(() => this.random.unit() < 0.5);
    for (const runner of this.#runners) {
      runner.lineEnd = this.draw(["\n", "\r\n"]);
      runner.drawEnding = (request) => this.#drawEnding(request);
    }
    return this.#runners.map(({ id }) => id).join(" ");
  }

  override end(): void {
    for (const runner of this.#runners) runner.drawEnding = undefined;
  }

  #drawEnding({ headers, lastEventId }: ExecutedRequest): AnswerEnding | undefined {
    if (this.random.unit() < USUAL_FRACTION) return undefined;
    const isStream = headers["x-token-usage"] !== undefined;
    const isCut = this.random.unit() < 0.7;
    const afterEvents = isStream ? this.random.below(ENGINE_EVENTS) : 0;
    // Two runs of one stream that end between the same two events can't be told from its end.
    const mayCutBetween = lastEventId === undefined;
    const position = this.between(mayCutBetween ? 0 : 1, MIN_EVENT_BYTES + MAX_BYTES_BEFORE_END);
    const bytes = position < MIN_EVENT_BYTES ? position : MIN_EVENT_BYTES - 1 - position;
    const cut = isCut ? { afterEvents, bytes } : undefined;
    const framing = this.draw(["own", "connection"] as const);
    // A length can't be ended before it is reached, and a chunked stream that is cut between two events says that it ends.
    const isEndPossible = framing === "connection" || !isCut || (isStream && bytes !== 0);
    const end = this.draw(
      isEndPossible ? (["framed", "fin", "reset"] as const) : (["fin", "reset"] as const),
    );
    return { framing, cut, end };
  }
}
