/**
 * `npm run mutations`: breaks one mechanism at a time in a copy of the sources and checks that the simulation, the soak
 * or a test detects it. A mutation that is not caught means that the guarantee is not tested.
 */
import { execFile } from "node:child_process";
import { cp, mkdtemp, readFile, rm, symlink, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { Cli, Command, Option } from "clipanion";
import { ANSWER_MUTATIONS } from "./mutations/answer-mutations.ts";
import { GATEWAY_MUTATIONS } from "./mutations/gateway-mutations.ts";
import type { Edit, Mutation } from "./mutations/mutation.ts";
import { NODE_MUTATIONS } from "./mutations/node-mutations.ts";
import { PLACE_MUTATIONS } from "./mutations/place-mutations.ts";
import { POISON_MUTATIONS } from "./mutations/poison-mutations.ts";
import { RUNNER_MUTATIONS } from "./mutations/runner-mutations.ts";
import { SOAK_MUTATIONS } from "./mutations/soak-mutations.ts";
import { STREAM_MUTATIONS } from "./mutations/stream-mutations.ts";
import { TENANT_MUTATIONS } from "./mutations/tenant-mutations.ts";

const COPIED_PATHS = ["src", "platform", "bench", "standins", "test", "package.json", "tsconfig.json"];
const RUN_TIMEOUT_MS = 180_000;
const TEST_FILE_SUFFIX = ".test.ts";

class MutationsCommand extends Command {
  static override paths = [Command.Default];
  runs = Option.String("--runs", "4", { description: "Number of seeds to run for each mutation" });
  only = Option.String("--only", { description: "Runs only mutations whose name contains this text" });
  jobs = Option.String("--jobs", "6", { description: "Number of mutations to run in parallel" });

  override async execute(): Promise<number> {
    const all = [
      ...NODE_MUTATIONS,
      ...GATEWAY_MUTATIONS,
      ...TENANT_MUTATIONS,
      ...PLACE_MUTATIONS,
      ...RUNNER_MUTATIONS,
      ...SOAK_MUTATIONS,
      ...STREAM_MUTATIONS,
      ...ANSWER_MUTATIONS,
      ...POISON_MUTATIONS,
    ];
    const queue = all.filter((mutation) => !this.only || mutation.name.includes(this.only));
    const results: string[] = [];
    let missed = 0;
    const runQueuedMutations = async () => {
      for (let mutation = queue.shift(); mutation; mutation = queue.shift()) {
        const caught = await tryMutation(mutation, this.runs);
        if (!caught) missed += 1;
        results.push(`| ${mutation.guarantee} | ${mutation.name} | ${caught ?? "not caught"} |`);
      }
    };
    await Promise.all(Array.from({ length: Number(this.jobs) }, runQueuedMutations));
    this.context.stdout.write(
      `| guarantee | mutation | caught by |\n|---|---|---|\n${results.sort().join("\n")}\n`,
    );
    return missed > 0 ? 1 : 0;
  }
}

/** Runs the mutation's script on a mutated copy; returns the seed or test that caught it with its message, if any. */
async function tryMutation(mutation: Mutation, runs: string): Promise<string | undefined> {
  const folder = await mkdtemp(join(tmpdir(), "tulipwheel-mutation-"));
  try {
    for (const name of COPIED_PATHS) await cp(name, join(folder, name), { recursive: true });
    await symlink(resolve("node_modules"), join(folder, "node_modules"));
    for (const edit of mutation.edits) await applyEdit(folder, edit);
    if (mutation.script.endsWith(TEST_FILE_SUFFIX)) return await findFailedTest(folder, mutation.script);
    const output = await runNode(folder, [mutation.script, "--seed", "1", "--runs", runs, ...mutation.args]);
    const lines = output.split("\n");
    const brokenLineIndex = lines.findIndex((line) => line.includes(" BROKEN"));
    if (brokenLineIndex < 0)
      return lines.some((line) => / passed, | broke a promise/.test(line))
        ? undefined
        : "the run did not finish";
    return `seed ${/seed (\d+)/.exec(lines[brokenLineIndex])?.[1]}, \`${mutation.args.join(" ")}\`: ${lines[brokenLineIndex + 1].trim()}`;
  } finally {
    await rm(folder, { recursive: true });
  }
}

/** Runs a test file on a mutated copy; returns the name of the first test that failed. */
async function findFailedTest(folder: string, script: string): Promise<string | undefined> {
  const output = await runNode(folder, ["--test", "--test-force-exit", "--test-reporter=tap", script]);
  if (!/^# tests /m.test(output)) return "the run did not finish";
  const failed = /^ *not ok \d+ - (.*)$/m.exec(output);
  return failed ? `\`${script}\`: ${failed[1]}` : undefined;
}

async function applyEdit(folder: string, { file, from, to }: Edit): Promise<void> {
  const path = join(folder, file);
  const text = await readFile(path, "utf8");
  if (!text.includes(from)) throw new Error(`${file} no longer contains: ${from}`);
  await writeFile(path, text.replace(from, to));
}

function runNode(folder: string, args: readonly string[]): Promise<string> {
  return new Promise((resolveOutput) => {
    const options = { cwd: folder, timeout: RUN_TIMEOUT_MS, maxBuffer: 64 * 1024 * 1024 };
    execFile(process.execPath, ["--import", "tsx", ...args], options, (_error, stdout) => {
      resolveOutput(stdout);
    });
  });
}

process.exitCode = await Cli.from([MutationsCommand], { binaryName: "mutations" }).run(process.argv.slice(2));
process.exit();
