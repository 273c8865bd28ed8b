/**
 * Runs soak tests: `npm run soak -- [--seed N | --seeds A-B] [--minutes M | --runs N] [--faults a,b] [--out FOLDER]`.
 * By default, runs consecutive seeds with one minute of faults each until the time is over. With `--runs`, runs that
 * many short ones. With `--seeds`, runs each seed from A to B, with M minutes of faults or a short time. Prints one
 * line per seed with its result. If a promise was broken, saves the broken promises, the faults in order, the tries and the
 * processes' logs in a folder named after the seed, and exits with code 1. If a seed of a range could not be run to its
 * end, prints that, counts it as failed, and continues with the next seed.
 */
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { runSoak, type SoakResult } from "./run-soak.ts";

const MINUTE_MS = 60_000;
/** Duration of faults in a short run, in ms. */
const SHORT_RUN_MS = 12_000;

const { values } = parseArgs({
  options: {
    seed: { type: "string" },
    seeds: { type: "string" },
    minutes: { type: "string" },
    runs: { type: "string" },
    faults: { type: "string" },
    out: { type: "string", default: "target/soak" },
  },
});

async function saveResult(seed: number, { ledger, faults, logs }: SoakResult): Promise<string> {
  const folder = join(values.out, `seed-${seed}`);
  await mkdir(folder, { recursive: true });
  await writeFile(join(folder, "broken.json"), JSON.stringify(ledger.broken, null, 2));
  await writeFile(join(folder, "faults.txt"), `${faults.join("\n")}\n`);
  await writeFile(join(folder, "tries.jsonl"), ledger.tries.map((entry) => JSON.stringify(entry)).join("\n"));
  for (const [name, text] of logs) await writeFile(join(folder, `${name}.log`), text);
  return folder;
}

/** Runs a seed and prints its result. Returns whether all promises were kept. */
async function runSeed(seed: number, durationMs: number): Promise<boolean> {
  const faults = values.faults?.split(",");
  let result: SoakResult;
  try {
    result = await runSoak({ seed, durationMs, ...(faults ? { faults } : {}) });
  } catch (error) {
    if (values.seeds === undefined) throw error;
    process.stdout.write(`seed ${seed}: NOT RUN to its end: ${String(error).slice(0, 300)}\n`);
    return false;
  }
  const { broken, tries, programs, continuedTurns } = result.ledger;
  const served = tries.filter(({ status, whole }) => status === 200 && whole).length;
  const promises = [...new Set(broken.map(({ promise }) => promise))];
  const outcome = broken.length === 0 ? "holds" : `BROKEN (${promises.join(", ")})`;
  process.stdout.write(
    `seed ${seed}: ${outcome}; ${programs.length} programs, ${tries.length} tries, ${served} answered whole, ${continuedTurns} turns gone on from, ${result.faults.length} lines of faults\n`,
  );
  if (broken.length === 0) return true;
  const folder = await saveResult(seed, result);
  for (const { promise, detail, atMs } of broken.slice(0, 10))
    process.stdout.write(`  ${atMs} ms ${promise}: ${detail.slice(0, 300)}\n`);
  process.stdout.write(`  kept in ${folder}\n`);
  return false;
}

function exitWithUsageError(text: string): never {
  process.stderr.write(`${text}\n`);
  process.exit(2);
}

/** Returns the first and the last seed; the last one is infinite if only the time limits the run. */
function parseSeeds(): [first: number, last: number] {
  if (values.seeds === undefined) {
    const first = values.seed === undefined ? Date.now() % 1_000_000 : Number(values.seed);
    return [first, values.runs === undefined ? Number.POSITIVE_INFINITY : first + Number(values.runs) - 1];
  }
  if (values.seed !== undefined || values.runs !== undefined)
    exitWithUsageError("--seeds goes without --seed and --runs.");
  const [, first, last] = /^(\d+)-(\d+)$/.exec(values.seeds) ?? [];
  if (first === undefined || last === undefined) exitWithUsageError("--seeds takes a range, such as 1-50.");
  return [Number(first), Number(last)];
}

const [first, last] = parseSeeds();
const minutes = Number(values.minutes ?? "1");
if (!(minutes > 0) || !Number.isInteger(first))
  exitWithUsageError("--minutes takes a number above 0, --seed a whole number.");
if (!(last >= first)) exitWithUsageError("--runs takes a number above 0, --seeds a range that rises.");
const untilMs = last === Number.POSITIVE_INFINITY ? performance.now() + minutes * MINUTE_MS : undefined;
const isShort = values.runs !== undefined || values.minutes === undefined;
const fixedMs = isShort ? SHORT_RUN_MS : minutes * MINUTE_MS;
let failed = 0;
let played = 0;
for (let seed = first; seed <= last && (untilMs === undefined || performance.now() < untilMs); seed += 1) {
  const leftMs = untilMs === undefined ? fixedMs : untilMs - performance.now();
  const durationMs = untilMs === undefined ? fixedMs : Math.min(MINUTE_MS, Math.max(SHORT_RUN_MS, leftMs));
  if (!(await runSeed(seed, durationMs))) failed += 1;
  played += 1;
}
process.stdout.write(`${failed} of ${played} runs broke a promise or were not run to their end\n`);
process.exit(failed > 0 ? 1 : 0);
