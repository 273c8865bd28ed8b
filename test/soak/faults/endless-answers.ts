import type { EndlessForm } from "../../../standins/platform/endless-answer.ts";
import type { RunnerStandin } from "../../../standins/platform/runner-standin.ts";
import { SoakFault } from "./soak-fault.ts";

const FORMS: readonly EndlessForm[] = [
  "failure",
  "notRun",
  "body",
  "tinyChunks",
  "noEvents",
  "event",
  "comments",
  "headerLines",
  "header",
  "trailers",
  "interim",
  "chunkExtension",
];
/** Chance of each runner to be one of those that never end their answers. */
const SHARE = 0.4;

/** Lets some runners send answers without end, each with another part that does not end. */
export class EndlessAnswers extends SoakFault {
  #runners: readonly RunnerStandin[] = [];

  override begin(): string {
    const all = [...this.cluster.engines, ...this.cluster.services];
    this.#runners = all.filter(() => this.random.unit() < SHARE);
    for (const runner of this.#runners) runner.endless = this.draw(FORMS);
    return this.#runners.map(({ id, endless }) => `${id} ${endless}`).join(" ");
  }

  override end(): void {
    for (const runner of this.#runners) runner.endless = undefined;
  }
}
