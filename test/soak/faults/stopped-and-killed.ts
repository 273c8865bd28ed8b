import { pause, type TestGateway } from "../../process/support/gateway-cluster.ts";
import type { SignalledProcess } from "../soak-cluster.ts";
import { SoakFault } from "./soak-fault.ts";

/** Time between the stop and the kill, in ms: within the time that a planned stop takes. */
const SHORTEST_GAP_MS = 50;
const LONGEST_GAP_MS = 1_000;
/** Time between the second signal and the restart, in ms. */
const MIN_DOWNTIME_MS = 500;
const MAX_DOWNTIME_MS = 1_500;
/** Maximum wait for a planned stop, in ms. A longer stop continues during the following faults. */
const STOP_MS = 5_000;
/** Share of the draws that affect all gateways. */
const ALL_GATEWAYS_SHARE = 0.5;

/** Stops gateways with SIGTERM and kills gateways shortly afterwards, or the other way round. */
export class StoppedAndKilled extends SoakFault {
  #sequence = Promise.resolve();

  override begin(): string {
    const stopped = this.#drawGateways();
    const killed = this.#drawGateways();
    const killsFirst = this.random.unit() < 0.5;
    const gapMs = this.between(SHORTEST_GAP_MS, LONGEST_GAP_MS);
    const downtimeMs = this.between(MIN_DOWNTIME_MS, MAX_DOWNTIME_MS);
    const steps = [
      () => this.cluster.signalAll(stopped, "SIGTERM"),
      () => this.cluster.signalAll(killed, "SIGKILL"),
    ];
    if (killsFirst) steps.reverse();
    this.#sequence = this.#run(steps, gapMs, downtimeMs);
    const order = killsFirst ? "killed first" : "stopped first";
    return `${namesOf(stopped)} stopped, ${namesOf(killed)} killed, ${order}, ${gapMs} ms between, for ${downtimeMs} ms`;
  }

  /** Does nothing: the sequence ends by itself. */
  override end(): void {}

  override settled(): Promise<void> {
    return this.#sequence;
  }

  async #run(steps: readonly (() => SignalledProcess[])[], gapMs: number, downtimeMs: number): Promise<void> {
    const signalled: SignalledProcess[] = [];
    for (const step of steps) {
      signalled.push(...step());
      await pause(gapMs);
    }
    await pause(Math.max(0, downtimeMs - gapMs));
    const started = signalled.map((process) => this.cluster.restartOnceEnded(process));
    await Promise.race([Promise.all(started), pause(STOP_MS)]);
  }

  #drawGateways(): TestGateway[] {
    const { gateways } = this.cluster;
    return this.random.unit() < ALL_GATEWAYS_SHARE ? [...gateways] : [this.draw(gateways)];
  }
}

function namesOf(gateways: readonly TestGateway[]): string {
  return gateways.map(({ name }) => name).join(" ");
}
