/** Runs one soak: real gateways under faults drawn from a seed, checked against the promises to callers and runners. */
import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { pause } from "../process/support/gateway-cluster.ts";
import { checkRetained } from "./check-retained.ts";
import { checkRunners } from "./check-runners.ts";
import { ConfigurationWatch } from "./configuration-watch.ts";
import type { SoakFault } from "./faults/soak-fault.ts";
import { SOAK_FAULTS } from "./faults/soak-faults.ts";
import { SoakCaller } from "./soak-caller.ts";
import { SoakCluster } from "./soak-cluster.ts";
import { SoakLedger } from "./soak-ledger.ts";
import { SoakRawCaller } from "./soak-raw-caller.ts";
import { TenantWatch } from "./tenant-watch.ts";

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of faults, in ms. */
  readonly durationMs: number;
  /** Names of the faults to draw from; all if omitted. */
  readonly faults?: readonly string[];
  readonly onFault?: (line: string) => void;
}

/** Result of a soak. */
export interface SoakResult {
  readonly ledger: SoakLedger;
  /** Faults in order, one line each. */
  readonly faults: readonly string[];
  /** Output of each gateway, by name. */
  readonly logs: ReadonlyMap<string, string>;
}

const GATEWAYS = 4;
const ENGINES = 3;
const SERVICES = 3;
const CALLERS = 6;
const RAW_CALLERS = 2;
/** Time without faults at the start, in ms. */
const QUIET_MS = 1_500;
const GAP_MS = 1_000;
const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 4_000;
/** Share of the draws that start two faults at once. */
const PAIRED_SHARE = 0.4;
/** Time within which everything must work again after the last fault, in ms. */
const RECOVERY_MS = 12_000;
const CALM_MS = 3_000;
const OK = 200;
/** Share of the tries after recovery that must be served. */
const MIN_SERVED_SHARE = 0.9;

/** Starts a cluster, runs callers under faults, and checks the promises once the faults are over. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const random = new SeededRandomSource(options.seed);
  const cluster = await SoakCluster.start(GATEWAYS, ENGINES, SERVICES);
  const ledger = new SoakLedger();
  cluster.onBroken = (promise, detail) => ledger.recordBroken(promise, detail);
  cluster.onAllKilled = () => ledger.allKilledMs.push(ledger.nowMs);
  const faults: string[] = [];
  const note = (line: string) => {
    const entry = `${ledger.nowMs} ms ${line}`;
    faults.push(entry);
    options.onFault?.(entry);
  };
  try {
    let isOver = false;
    const watch = new ConfigurationWatch(cluster, ledger);
    const callers = Array.from({ length: CALLERS }, (_, index) => {
      const own = new SeededRandomSource(options.seed + index + 1);
      return new SoakCaller(`caller-${index}`, cluster, ledger, own);
    });
    const tenants = new TenantWatch(cluster, ledger, cluster.tenants, new SeededRandomSource(options.seed));
    const rawCallers = Array.from({ length: RAW_CALLERS }, (_, index) => {
      const own = new SeededRandomSource(options.seed + CALLERS + index + 1);
      return new SoakRawCaller(`raw-caller-${index}`, cluster, ledger, own);
    });
    const work = [...callers, ...rawCallers, watch, tenants].map((worker) => worker.run(() => isOver));
    await pause(QUIET_MS);
    await injectFaultsUntil(ledger.nowMs + options.durationMs, cluster, random, options, ledger, note);
    note("calm");
    await pause(RECOVERY_MS);
    const calmFromMs = ledger.nowMs;
    await pause(CALM_MS);
    isOver = true;
    await Promise.all(work);
    checkRecovery(ledger, calmFromMs);
    await watch.checkNewest();
    await checkRetained(cluster, ledger);
    checkRunners(cluster, ledger);
    tenants.check();
    return { ledger, faults, logs: cluster.logs() };
  } finally {
    await cluster.stop();
  }
}

async function injectFaultsUntil(
  untilMs: number,
  cluster: SoakCluster,
  random: SeededRandomSource,
  options: SoakOptions,
  ledger: SoakLedger,
  note: (line: string) => void,
): Promise<void> {
  const names = options.faults ?? Object.keys(SOAK_FAULTS);
  while (ledger.nowMs < untilMs) {
    const count = random.unit() < PAIRED_SHARE ? 2 : 1;
    ledger.underFaults = true;
    const active = Array.from({ length: count }, () => {
      const name = names[random.below(names.length)] ?? "";
      return startFault(name, cluster, random, note);
    });
    await pause(MIN_FAULT_MS + random.unit() * (MAX_FAULT_MS - MIN_FAULT_MS));
    for (const fault of active) fault.end();
    await Promise.all(active.map((fault) => fault.settled()));
    ledger.underFaults = false;
    ledger.faultsEndedMs = ledger.nowMs;
    note("over");
    await pause(random.unit() * GAP_MS);
  }
}

function startFault(
  name: string,
  cluster: SoakCluster,
  random: SeededRandomSource,
  note: (line: string) => void,
): SoakFault {
  const Fault = SOAK_FAULTS[name];
  if (!Fault) throw new Error(`unknown fault ${name}; known are ${Object.keys(SOAK_FAULTS).join(", ")}`);
  const fault = new Fault(cluster, random);
  note(`${name}: ${fault.begin()}`);
  return fault;
}

function checkRecovery(ledger: SoakLedger, fromMs: number): void {
  const tries = ledger.tries.filter(
    ({ atMs, kind }) => atMs >= fromMs && kind !== "probe" && kind !== "tenant",
  );
  const served = tries.filter(({ status, whole }) => whole && (status === OK || status === 402));
  if (served.length < MIN_SERVED_SHARE * tries.length || served.length === 0)
    ledger.recordBroken("recovery", `${served.length} of ${tries.length} tries served in calm time`);
}
