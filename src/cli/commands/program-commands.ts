import { Command, Option } from "clipanion";
import { requestError } from "../../errors/tulipwheel-error.ts";
import type { BudgetView, DecisionView } from "../../messages/rpc-messages.ts";
import type { Alternative } from "../../scheduling/decision/decision.ts";
import { isCallId, isProgramId } from "../../scheduling/program/program-id.ts";
import type { ProgramRecord } from "../../scheduling/program/records.ts";
import { EXIT_CODES } from "../exit-codes.ts";
import { formatTable, formatTime } from "../format-table.ts";
import type { OperatorClient } from "../operator-client.ts";
import { OperatorCommand } from "../operator-command.ts";

const CATEGORY = "Programs";

/** `tulipwheel explain` */
export class ExplainCommand extends OperatorCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Says why a call went where it went, waited, or was refused",
    examples: [
      ["A call, by the identifier in its Tulipwheel-Call-Id header", "tulipwheel explain prog-x7…~k9"],
    ],
  });
  subject = Option.String({ name: "CALL_OR_PROGRAM" });

  protected override async operate(client: OperatorClient): Promise<number> {
    requireProgramOrCallId(this.subject);
    const body = { subject: this.subject, tenant: undefined };
    const view = await client.askLeader(this.subject, "readDecision", body);
    this.print(view, explanationOf(view));
    return EXIT_CODES.done;
  }
}

/** `tulipwheel program show` */
export class ProgramShowCommand extends OperatorCommand {
  static override paths = [["program", "show"]];
  static override usage = Command.Usage({ category: CATEGORY, description: "Shows a program and its calls" });
  program = Option.String({ name: "PROGRAM" });

  protected override async operate(client: OperatorClient): Promise<number> {
    requireProgramOrCallId(this.program);
    const body = { program: this.program, tenant: undefined };
    const { program } = await client.askLeader(this.program, "readProgram", body);
    this.print(program, programText(program));
    return EXIT_CODES.done;
  }
}

/** `tulipwheel program end` */
export class ProgramEndCommand extends OperatorCommand {
  static override paths = [["program", "end"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Ends a program: it takes no more calls",
  });
  program = Option.String({ name: "PROGRAM" });

  protected override async operate(client: OperatorClient): Promise<number> {
    requireProgramOrCallId(this.program);
    const body = { program: this.program, tenant: undefined, reason: "operator" } as const;
    const { program } = await client.askLeader(this.program, "endProgram", body);
    this.print(program, programText(program));
    return EXIT_CODES.done;
  }
}

/** `tulipwheel budget show` */
export class BudgetShowCommand extends OperatorCommand {
  static override paths = [["budget", "show"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Shows a tenant's budget for a template",
  });
  tenant = Option.String({ name: "TENANT" });
  template = Option.String({ name: "TEMPLATE" });

  protected override async operate(client: OperatorClient): Promise<number> {
    const { budget } = await client.ask("nameBudget", { tenant: this.tenant, template: this.template });
    const view = await client.askLeader(`budget:${budget}`, "readBudget", {
      tenant: this.tenant,
      template: this.template,
    });
    this.print(view, budgetText(view));
    return EXIT_CODES.done;
  }
}

function requireProgramOrCallId(subject: string): void {
  if (isCallId(subject) || isProgramId(subject)) return;
  throw requestError("invalid-request", `"${subject}" is not an identifier of a program or call.`);
}

function explanationOf({ decision, state, problem }: DecisionView): string {
  const { inputs } = decision;
  const inputLines = Object.entries(inputs)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `  ${name}: ${typeof value === "object" ? JSON.stringify(value) : value}`);
  return [
    `${decision.subject}: ${decision.verdict}, now ${state}`,
    `rule: ${decision.rule}`,
    `decided ${formatTime(decision.atMs)} by ${decision.node}, configuration version ${decision.configurationVersion}`,
    `waited ${decision.waitedMs} ms, ${decision.attempts} attempt(s)`,
    ...(problem ? [`problem: ${problem.detail} (${problem.outcome}) ${problem.remedy}`] : []),
    "inputs:",
    ...inputLines,
    ...alternativesText(decision.alternatives),
  ].join("\n");
}

function alternativesText(alternatives: readonly Alternative[]): string[] {
  if (alternatives.length === 0) return [];
  const rows = alternatives.map((alternative) => [
    alternative.chosen ? "*" : "",
    alternative.runner,
    alternative.expectedWaitMs.toFixed(1),
    alternative.prefillMs.toFixed(1),
    alternative.transferMs.toFixed(1),
    alternative.totalMs.toFixed(1),
    alternative.note,
  ]);
  const header = ["", "RUNNER", "WAIT MS", "PREFILL MS", "TRANSFER MS", "TOTAL MS", "NOTE"];
  return ["alternatives:", formatTable(header, rows)];
}

function programText(program: ProgramRecord): string {
  const rows = program.calls.map((call) => [
    String(call.number),
    call.id,
    call.outcome?.type ?? "running",
    String(call.attempt),
    call.decision ? `${call.decision.waitedMs}` : "-",
  ]);
  const state = program.endedAtMs === undefined ? "open" : `ended (${program.endReason})`;
  return [
    `${program.id} of ${program.tenant}, template ${program.template}: ${state}`,
    `opened ${formatTime(program.openedAtMs)}, ${program.historyTokens} tokens of history, ${program.chargedTokens} charged`,
    formatTable(["NUMBER", "CALL", "STATE", "ATTEMPTS", "WAITED MS"], rows),
    ...program.refusals.map(({ id, problem }) => `refused ${id}: ${problem.kind}`),
  ].join("\n");
}

function budgetText({ budget, limit, lent, spentReported, borrowers }: BudgetView): string {
  const rows = borrowers.map(({ borrower, lent: lentTokens, spent }) => [
    borrower,
    String(lentTokens),
    String(spent),
  ]);
  return [
    `${budget}: ${lent} of ${limit} tokens lent, ${spentReported} reported as spent`,
    formatTable(["BORROWER", "LENT", "SPENT"], rows),
  ].join("\n");
}
