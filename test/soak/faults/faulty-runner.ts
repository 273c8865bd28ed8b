import type { RunnerFault, RunnerStandin } from "../../../standins/platform/runner-standin.ts";
import { SoakFault } from "./soak-fault.ts";

const KINDS: readonly RunnerFault[] = [
  "full",
  "lostAnswer",
  "silent",
  "breakStream",
  "surplus",
  "unframed",
  "unframedReset",
  "otherRequest",
  "error",
];

/** Makes one runner misbehave on every request. */
export class FaultyRunner extends SoakFault {
  #runner: RunnerStandin | undefined;

  override begin(): string {
    const runner = this.draw([...this.cluster.engines, ...this.cluster.services]);
    const kind = this.draw(KINDS);
    this.#runner = runner;
    runner.fault = kind;
    return `${runner.id} ${kind}`;
  }

  override end(): void {
    if (this.#runner) this.#runner.fault = "none";
  }
}
