/** `npm run simulate -- --seed N --runs K --minutes M`: simulates the system under faults, in virtual time. */
import { Cli, Command, Option } from "clipanion";
import { loadTextHash } from "../src/runtime/text-hash.ts";
import { FAULT_KINDS, type FaultKind } from "./simulation/faults.ts";
import { runSimulation, type SimulationResult } from "./simulation/run-simulation.ts";

const MS_PER_MINUTE = 60_000;
const TRACE_LINES = 40;

class SimulateCommand extends Command {
  static override paths = [Command.Default];
  seed = Option.String("--seed", "1", { description: "The first seed" });
  runs = Option.String("--runs", "1", { description: "How many seeds to run, one after the other" });
  minutes = Option.String("--minutes", "1", { description: "Virtual minutes under faults, per run" });
  faults = Option.String("--faults", {
    description: "Kinds of faults to draw from, separated by commas, or none",
  });
  budget = Option.String("--budget", "400000", { description: "The tenant's budget, in tokens" });
  trace = Option.Boolean("--trace", false, { description: "Prints the whole trace" });

  override async execute(): Promise<number> {
    const hash = await loadTextHash();
    const kinds = kindsOf(this.faults);
    const first = Number(this.seed);
    let failed = 0;
    for (let seed = first; seed < first + Number(this.runs); seed++) {
      const durationMs = Number(this.minutes) * MS_PER_MINUTE;
      const plan = kinds.length === 0 ? [] : undefined;
      const result = await runSimulation(
        { seed, durationMs, kinds, plan, budgetTokens: Number(this.budget) },
        hash,
      );
      if (result.broken.length > 0) failed += 1;
      this.#report(result);
    }
    this.context.stdout.write(`${Number(this.runs) - failed} passed, ${failed} failed\n`);
    return failed > 0 ? 1 : 0;
  }

  #report({ seed, broken, trace, plan, observations, world }: SimulationResult): void {
    const { turns, charges, changes, failures } = observations;
    const faults = plan.map((fault) => fault.kind).join(" ");
    const digest = world.hash.hash64(trace.join("\n"));
    const verdict = broken.length === 0 ? "ok" : "BROKEN";
    this.context.stdout.write(
      `seed ${seed} ${verdict}: ${turns.length} turns, ${charges.length} charges, ${changes.length} changes, ` +
        `${failures} without an answer, trace ${digest}; ${faults}\n`,
    );
    if (broken.length > 0) this.context.stdout.write(`  ${broken.slice(0, 5).join("\n  ")}\n`);
    const lines = this.trace ? trace : broken.length > 0 ? trace.slice(-TRACE_LINES) : [];
    for (const line of lines) this.context.stdout.write(`    ${line}\n`);
  }
}

function kindsOf(text: string | undefined): readonly FaultKind[] {
  if (text === undefined) return FAULT_KINDS;
  if (text === "none") return [];
  const named = text.split(",");
  const unknown = named.filter((kind) => !(FAULT_KINDS as readonly string[]).includes(kind));
  if (unknown.length > 0)
    throw new Error(`Unknown faults ${unknown.join(", ")}; known are ${FAULT_KINDS.join(", ")}.`);
  return named as FaultKind[];
}

process.exitCode = await Cli.from([SimulateCommand], { binaryName: "simulate" }).run(process.argv.slice(2));
