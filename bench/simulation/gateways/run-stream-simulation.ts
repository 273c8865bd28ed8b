/**
 * Runs gateways before runners of several software versions in virtual time. Callers take broken streams up at other
 * gateways: each stream must go on at the version that began it, and most of them must go on.
 */
import type { TextHash } from "../../../src/runtime/text-hash.ts";
import type { RequestId } from "../../../src/scheduling/ids/request-id.ts";
import type { RunnerEntry } from "../../../src/scheduling/runner-balancing/runner-entry.ts";
import { type StreamKey, streamKeyOf } from "../../../src/scheduling/stream-versions/index.ts";
import { injectFault } from "./gateway-faults.ts";
import { GatewayWorld } from "./gateway-world.ts";
import type { GatewaySimulationOptions } from "./run-gateway-simulation.ts";
import { type SimulatedGateway, STREAM_LIFETIME_MS } from "./simulated-gateway.ts";
import { POOL, SimulatedRunners } from "./simulated-runners.ts";

/** Longer than a stream lasts, so that the gateways know that there was only one version. */
const QUIET_START_MS = STREAM_LIFETIME_MS + 4_000;
const FAULT_INTERVAL_MS = 5_000;
const STREAM_INTERVAL_MS = 25;
const STREAM_MS = 900;
/** Fraction of the streams whose connection breaks although their gateway runs on. */
const RESET_FRACTION = 0.2;
const RETRY_MS = 20;
/** Fraction of the streams taken up at gateways in touch that must go on, and the number from which that is checked. */
const MIN_RESUMED_FRACTION = 0.5;
const MIN_COUNTED = 12;

/** The results of a simulation of streams. */
export interface StreamObservations {
  begun: number;
  /** Streams that callers took up at any gateway, and those of them that were refused. */
  resumed: number;
  refused: number;
  /** The same of streams whose gateway was lost, at gateways in touch, while two runners of their version served. */
  inTouch: number;
  refusedInTouch: number;
  /** Violated guarantees. */
  readonly broken: string[];
}

/** Runs one simulation; violated guarantees are in `broken`. */
export async function runStreamSimulation(
  options: GatewaySimulationOptions,
  hash: TextHash,
): Promise<StreamObservations> {
  const world = new GatewayWorld(options.seed, hash, options.fleet);
  const runners = new SimulatedRunners(world);
  const observations = { begun: 0, resumed: 0, refused: 0, inTouch: 0, refusedInTouch: 0, broken: [] };
  await world.time.runUntil(QUIET_START_MS);
  const faultsEndMs = QUIET_START_MS + options.durationMs;
  for (let atMs = QUIET_START_MS; atMs < faultsEndMs; atMs += FAULT_INTERVAL_MS)
    for (const fault of options.faults)
      world.time.after(atMs - world.time.nowMs + world.random.unit() * FAULT_INTERVAL_MS, () =>
        injectFault(world, fault),
      );
  world.time.after(world.random.unit() * FAULT_INTERVAL_MS, () => runners.release(faultsEndMs));
  new StreamWorkload(world, runners, observations).run(faultsEndMs);
  await world.time.runUntil(faultsEndMs + STREAM_LIFETIME_MS);
  checkResumed(observations);
  return observations;
}

/** Begins streams at random gateways and takes broken ones up elsewhere. */
class StreamWorkload {
  readonly #world: GatewayWorld;
  readonly #runners: SimulatedRunners;
  readonly #observations: StreamObservations;

  constructor(world: GatewayWorld, runners: SimulatedRunners, observations: StreamObservations) {
    this.#world = world;
    this.#runners = runners;
    this.#observations = observations;
  }

  run(untilMs: number): void {
    const { time } = this.#world;
    if (time.nowMs >= untilMs) return;
    this.#begin();
    time.after(STREAM_INTERVAL_MS, () => this.run(untilMs));
  }

  #begin(): void {
    const { random, time } = this.#world;
    const gateway = this.#world.drawServing();
    const runner = gateway && this.#drawRunner(gateway);
    if (!gateway || !runner) return;
    this.#observations.begun += 1;
    const key = streamKeyOf(undefined, `stream-${this.#observations.begun}` as RequestId);
    gateway.streams.recordBegin(key, { pool: POOL, version: runner.version, runner: runner.name });
    const isReset = random.unit() < RESET_FRACTION;
    time.after(random.unit() * STREAM_MS, () => {
      const isLost = !gateway.serves;
      gateway.streams.recordEnd(key, !isReset && !isLost);
      if (isReset || isLost) time.after(RETRY_MS, () => void this.#takeUp(key, runner, isLost));
    });
  }

  /** The runner of a new stream at a gateway: any that the gateway considers ready. */
  #drawRunner({ board }: SimulatedGateway): RunnerEntry | undefined {
    const ready = board.entries().filter(({ id }) => board.ready(id));
    return ready[this.#world.random.below(Math.max(1, ready.length))];
  }

  async #takeUp(key: StreamKey, { version }: RunnerEntry, isLost: boolean): Promise<void> {
    const gateway = this.#world.drawServing();
    if (!gateway) return;
    const index = this.#world.gateways.indexOf(gateway);
    const isInTouch = this.#world.reachability.isReachable(index, this.#world.time.nowMs);
    // A gateway that runs on remembers its streams itself.
    const isCounted = isLost && isInTouch && this.#runners.serving(version) > 1;
    const verdict = await gateway.streams.find(key, POOL);
    if (!gateway.process.alive) return;
    const observations = this.#observations;
    observations.resumed += 1;
    if (isCounted) observations.inTouch += 1;
    if (verdict.type === "unknown") {
      observations.refused += 1;
      if (isCounted) observations.refusedInTouch += 1;
      return;
    }
    const found = verdict.type === "origin" ? verdict.origin.version : verdict.version;
    if (found !== version)
      observations.broken.push(`version: ${key} began at ${version} and goes on at ${found}`);
  }
}

function checkResumed({ inTouch, refusedInTouch, broken }: StreamObservations): void {
  if (inTouch < MIN_COUNTED) return;
  if (inTouch - refusedInTouch < MIN_RESUMED_FRACTION * inTouch)
    broken.push(`resumed: ${refusedInTouch} of ${inTouch} streams at gateways in touch were refused`);
}
