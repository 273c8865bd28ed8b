/**
 * Runs the simulation of gateways: `npm run simulate:gateways -- [--seed N] [--runs N] [--faults a,b] [--relays]
 * [--tenants] [--streams] [--answers] [--poison] [--pauses MS]`. The workload is programs or, with `--tenants`, tenants with keys and limits or, with
 * `--streams`, streams before runners of several software versions or, with `--answers`, calls before runners that
 * break answers off, which know no other faults or, with `--poison`, requests that end their runners. Programs pause for up to `--pauses` ms between turns. Without `--faults`, each
 * run draws two kinds of faults from its seed. The first run uses the given seed, the others use seeds far from it,
 * which the output names. Exits with code 1 if any run violates a guarantee.
 */
import { parseArgs } from "node:util";
import { SeededRandomSource } from "../src/runtime/random-source.ts";
import { loadTextHash } from "../src/runtime/text-hash.ts";
import { runAnswerSimulation } from "./simulation/answers/run-answer-simulation.ts";
import { GATEWAY_FAULTS, type GatewayFault } from "./simulation/gateways/gateway-faults.ts";
import { RELAYED_FLEET, SMALL_FLEET } from "./simulation/gateways/gateway-world.ts";
import {
  type GatewaySimulationOptions,
  runGatewaySimulation,
} from "./simulation/gateways/run-gateway-simulation.ts";
import { runPoisonSimulation } from "./simulation/gateways/run-poison-simulation.ts";
import { runStreamSimulation } from "./simulation/gateways/run-stream-simulation.ts";
import { runTenantSimulation } from "./simulation/gateways/run-tenant-simulation.ts";
import { spreadSeed } from "./simulation/spread-seed.ts";

const DURATION_MS = 20_000;

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    runs: { type: "string", default: "10" },
    faults: { type: "string" },
    relays: { type: "boolean", default: false },
    tenants: { type: "boolean", default: false },
    streams: { type: "boolean", default: false },
    answers: { type: "boolean", default: false },
    poison: { type: "boolean", default: false },
    pauses: { type: "string", default: "0" },
  },
});

function drawFaults(seed: number): GatewayFault[] {
  if (values.faults !== undefined) return values.faults.split(",") as GatewayFault[];
  const random = new SeededRandomSource(seed);
  return [0, 1].map(() => GATEWAY_FAULTS[random.below(GATEWAY_FAULTS.length)] as GatewayFault);
}

interface RunReport {
  readonly broken: readonly string[];
  readonly summary: string;
}

async function runPrograms(options: GatewaySimulationOptions): Promise<RunReport> {
  const result = await runGatewaySimulation(options, hash);
  const { broken, granted, exhausted, exhaustedEarly, unavailable, unavailableFor } = result;
  const reasons = Array.from(unavailableFor, ([reason, count]) => `\n    ${count} x ${reason}`).join("");
  return {
    broken,
    summary: `${granted} granted, ${exhausted} exhausted (${exhaustedEarly} early), ${unavailable} unavailable${reasons}`,
  };
}

async function runTenants(options: GatewaySimulationOptions): Promise<RunReport> {
  const { broken, tenants } = await runTenantSimulation(options, hash);
  const sum = (count: (tenant: (typeof tenants)[number]) => number) =>
    tenants.reduce((total, tenant) => total + count(tenant), 0);
  const admitted = sum((tenant) => tenant.admitted.length);
  const limited = sum((tenant) => tenant.limited);
  const unavailable = sum((tenant) => tenant.unavailable);
  return { broken, summary: `${admitted} admitted, ${limited} beyond limits, ${unavailable} unavailable` };
}

async function runStreams(options: GatewaySimulationOptions): Promise<RunReport> {
  const { broken, begun, resumed, refused, inTouch, refusedInTouch } = await runStreamSimulation(
    options,
    hash,
  );
  const takenUp = `${resumed} taken up (${refused} refused), in touch ${inTouch} (${refusedInTouch} refused)`;
  return { broken, summary: `${begun} begun, ${takenUp}` };
}

async function runAnswers({ seed }: GatewaySimulationOptions): Promise<RunReport> {
  const { violations, calls, whole, broken, uncertain, unseen } = await runAnswerSimulation(seed);
  const ends = `${whole} whole, ${broken} broken off, ${uncertain} uncertain, ${unseen} short without a sign`;
  return { broken: violations, summary: `${calls} calls, ${ends}` };
}

async function runPoison(options: GatewaySimulationOptions): Promise<RunReport> {
  const { broken, requests, poison, answered, unlucky, mostEnded } = await runPoisonSimulation(options, hash);
  const ends = `${answered} of ${requests - poison} others answered, ${unlucky} held back after ends of several causes`;
  return { broken, summary: `${poison} poison requests ended ${mostEnded} runners at most, ${ends}` };
}

/** The simulation of the chosen workload. */
function chooseRun(): (options: GatewaySimulationOptions) => Promise<RunReport> {
  if (values.answers) return runAnswers;
  if (values.streams) return runStreams;
  if (values.poison) return runPoison;
  return values.tenants ? runTenants : runPrograms;
}

const unknown = (values.faults?.split(",") ?? []).filter((fault) => !GATEWAY_FAULTS.includes(fault as never));
if (unknown.length > 0) {
  process.stderr.write(`Unknown faults: ${unknown.join(", ")}. Known: ${GATEWAY_FAULTS.join(", ")}.\n`);
  process.exit(2);
}
const fleet = values.relays ? RELAYED_FLEET : SMALL_FLEET;
const hash = await loadTextHash();
const maxPauseMs = Number(values.pauses);
const first = Number(values.seed);
let failed = 0;
for (let index = 0; index < Number(values.runs); index += 1) {
  const seed = index === 0 ? first : spreadSeed(first + index);
  const faults = drawFaults(seed);
  const { broken, summary } = await chooseRun()({ seed, faults, durationMs: DURATION_MS, fleet, maxPauseMs });
  const verdict = broken.length === 0 ? "holds" : "BROKEN";
  process.stdout.write(`seed ${seed} ${faults.join(",")}: ${verdict}; ${summary}\n`);
  for (const line of broken) process.stdout.write(`  ${line}\n`);
  if (broken.length > 0) failed += 1;
}
process.stdout.write(`${failed} of ${values.runs} runs broke a promise\n`);
process.exit(failed > 0 ? 1 : 0);
