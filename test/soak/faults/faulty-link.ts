import type { LinkState, LoopbackProxy } from "../loopback-proxy.ts";
import { SoakFault } from "./soak-fault.ts";

const STATES: readonly LinkState[] = ["delayed", "cutToTarget", "cutToCaller", "silent"];
const RESET = "reset";

/** Delays, cuts one way, silences or resets a link to the store, a runner or a gateway. */
export class FaultyLink extends SoakFault {
  #link: LoopbackProxy | undefined;

  override begin(): string {
    const { storeLinks, runnerLinks, callerLinks } = this.cluster;
    const [side, links] = this.draw([
      ["store", storeLinks],
      ["runner", runnerLinks],
      ["caller", callerLinks],
    ] as const);
    const [name, link] = this.draw([...links]);
    const state = this.draw([...STATES, RESET] as const);
    this.#link = link;
    if (state === RESET) link.resetAll();
    else link.state = state;
    return `${side} ${name} ${state}`;
  }

  override end(): void {
    const link = this.#link;
    if (!link || link.state === "open") return;
    const isReset = link.state === "cutToTarget" || link.state === "cutToCaller";
    link.state = "open";
    // Connections that have lost bytes can't recover, so they are reset: only new ones work again.
    if (isReset) link.resetAll();
  }
}
