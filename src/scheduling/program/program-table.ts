/**
 * The replicated state of all programs of one shard. Every replica applies the same commands in the same order.
 * Each command is checked again when it is applied, so that an outdated command of a replaced leader is rejected.
 */
import type { AllotmentTable } from "../../coordination/budget-escrow/index.ts";
import { messageTokensBound } from "../admission/worst-case-tokens.ts";
import { callRecordOf } from "./call-record-of.ts";
import type {
  FinishCall,
  IntendCall,
  OpenProgram,
  ProgramCommand,
  RefuseCall,
  RefuseProgram,
  RetryCall,
} from "./commands.ts";
import { programOfCall } from "./program-id.ts";
import type { CallRecord, ChatMessage, HistoryEntry, ProgramRecord, RefusedProgram } from "./records.ts";

/** The result of applying a command. */
export type ApplyResult =
  | { readonly accepted: true }
  | { readonly accepted: false; readonly reason: RejectReason };

/** A snapshot of {@link ProgramTable}, as plain data. */
export interface ProgramTableSnapshot {
  readonly programs: readonly ProgramRecord[];
  readonly refused: readonly RefusedProgram[];
}

/** Why a command was rejected. */
export type RejectReason =
  | "program-unknown"
  | "program-ended"
  | "program-exists"
  | "program-refused"
  | "parent-unknown"
  | "call-exists"
  | "call-refused"
  | "call-unknown"
  | "call-ended"
  | "number-taken"
  | "number-ahead"
  | "attempt-outdated"
  | "budget-short";

const ACCEPTED: ApplyResult = { accepted: true };
/** Maximum number of refusals per program that are kept with their details, for `explain`. */
const MAX_DETAILED_REFUSALS = 64;
/**
 * Number of refusals after which a program is ended. The identifiers of all refused calls must be kept, so that a call
 * that was reported as "not run" never runs later.
 */
const MAX_REFUSALS = 4_096;
/** Maximum number of refused programs that are kept, for `explain`. */
const MAX_REFUSED_PROGRAMS = 1_000;

/** Stores the programs of one shard and applies committed commands to them. */
export class ProgramTable {
  readonly #programs = new Map<string, ProgramRecord>();
  readonly #refusedPrograms = new Map<string, RefusedProgram>();
  readonly #allotments: AllotmentTable;
  readonly #hash: (text: string) => string;

  /**
   * @param allotments the budget tokens allotted to the shard, updated together with the programs
   * @param hash computes the hash chains of the programs' histories
   */
  constructor(allotments: AllotmentTable, hash: (text: string) => string) {
    this.#allotments = allotments;
    this.#hash = hash;
  }

  /** Returns a program, or undefined if this shard does not have it. */
  get(program: string): ProgramRecord | undefined {
    return this.#programs.get(program);
  }

  /** Returns a call, or undefined if this shard does not have it. */
  call(call: string): CallRecord | undefined {
    return this.get(programOfCall(call))?.calls.find((record) => record.id === call);
  }

  /** Returns a recently refused program. */
  refused(program: string): RefusedProgram | undefined {
    return this.#refusedPrograms.get(program);
  }

  /** Returns all programs. */
  all(): IterableIterator<ProgramRecord> {
    return this.#programs.values();
  }

  /** Number of programs. */
  get size(): number {
    return this.#programs.size;
  }

  /** Applies one committed command. */
  apply(command: ProgramCommand): ApplyResult {
    switch (command.type) {
      case "openProgram":
        return this.#open(command);
      case "refuseProgram":
        return this.#refuseProgram(command);
      case "endProgram":
        return this.#end(command.program, command.reason, command.atMs);
      case "forgetPrograms":
        for (const program of command.programs) this.#programs.delete(program);
        return ACCEPTED;
      case "intendCall":
        return this.#intend(command);
      case "retryCall":
        return this.#retry(command);
      case "finishCall":
        return this.#finish(command);
      case "refuseCall":
        return this.#refuse(command);
    }
  }

  /** Returns the table as plain data. */
  toSnapshot(): ProgramTableSnapshot {
    const programs = [...this.#programs.values()].map((program) => ({
      ...program,
      history: [...program.history],
      calls: [...program.calls],
      refusals: [...program.refusals],
      refusedCalls: [...program.refusedCalls],
    }));
    return { programs, refused: [...this.#refusedPrograms.values()] };
  }

  /** Replaces the table with a snapshot. */
  restore({ programs, refused }: ProgramTableSnapshot): void {
    this.#programs.clear();
    this.#refusedPrograms.clear();
    for (const program of programs) this.#programs.set(program.id, program);
    for (const refusal of refused) this.#refusedPrograms.set(refusal.program, refusal);
  }

  #open(command: OpenProgram): ApplyResult {
    if (this.#programs.has(command.program)) return rejected("program-exists");
    if (this.#refusedPrograms.has(command.program)) return rejected("program-refused");
    const parent = command.parent && this.#programs.get(command.parent.program);
    if (command.parent && !parent) return rejected("parent-unknown");
    if (parent?.endedAtMs !== undefined) return rejected("program-ended");
    const history = parent ? inheritedHistory(parent, command.parent?.afterCall ?? 0) : [];
    this.#programs.set(command.program, {
      id: command.program,
      tenant: command.tenant,
      template: command.template,
      parent: command.parent,
      depth: parent ? parent.depth + 1 : 0,
      openedAtMs: command.atMs,
      deadlineAtMs: command.deadlineAtMs,
      decision: command.decision,
      endedAtMs: undefined,
      endReason: undefined,
      lastActiveAtMs: command.atMs,
      nextNumber: 1,
      historyTokens: parent ? inheritedTokens(parent, history) : 0,
      chargedTokens: 0,
      attainedServiceMs: 0,
      history,
      calls: [],
      refusals: [],
      refusedCalls: [],
    });
    return ACCEPTED;
  }

  #refuseProgram({ program, tenant, problem, decision }: RefuseProgram): ApplyResult {
    if (this.#programs.has(program)) return rejected("program-exists");
    this.#refusedPrograms.set(program, { program, tenant, problem, decision });
    const [oldest] = this.#refusedPrograms.keys();
    if (this.#refusedPrograms.size > MAX_REFUSED_PROGRAMS) this.#refusedPrograms.delete(oldest);
    return ACCEPTED;
  }

  #end(id: string, reason: ProgramRecord["endReason"], atMs: number): ApplyResult {
    const program = this.#programs.get(id);
    if (!program) return rejected("program-unknown");
    if (program.endedAtMs !== undefined) return rejected("program-ended");
    program.endedAtMs = atMs;
    program.endReason = reason;
    return ACCEPTED;
  }

  #intend(command: IntendCall): ApplyResult {
    const program = this.#programs.get(command.program);
    if (!program) return rejected("program-unknown");
    if (program.endedAtMs !== undefined) return rejected("program-ended");
    if (program.refusedCalls.includes(command.call)) return rejected("call-refused");
    if (program.calls.some((call) => call.id === command.call)) return rejected("call-exists");
    if (command.number < program.nextNumber) return rejected("number-taken");
    if (command.number > program.nextNumber) return rejected("number-ahead");
    if (!this.#allotments.reserve(command.reservation.budget, command.reservation.tokens)) {
      return rejected("budget-short");
    }
    program.nextNumber += 1;
    program.lastActiveAtMs = command.atMs;
    program.calls.push(callRecordOf(command));
    return ACCEPTED;
  }

  /** Charges the previous attempt's whole reservation, because it may have used all of it, and reserves it again. */
  #retry(command: RetryCall): ApplyResult {
    const found = this.#openCall(command.call);
    if (!found) return rejected("call-unknown");
    const { program, call } = found;
    if (command.attempt !== call.attempt + 1) return rejected("attempt-outdated");
    const { budget, tokens } = call.reservation;
    if (!this.#allotments.reserve(budget, tokens)) return rejected("budget-short");
    this.#allotments.settle(budget, tokens, tokens);
    program.chargedTokens += tokens;
    replaceCall(program, { ...call, attempt: command.attempt, executor: command.executor });
    return ACCEPTED;
  }

  #finish(command: FinishCall): ApplyResult {
    const found = this.#openCall(command.call);
    if (!found) return rejected(this.call(command.call) ? "call-ended" : "call-unknown");
    const { program, call } = found;
    if (command.attempt !== call.attempt) return rejected("attempt-outdated");
    this.#allotments.settle(call.reservation.budget, call.reservation.tokens, command.chargedTokens);
    program.chargedTokens += Math.min(command.chargedTokens, call.reservation.tokens);
    program.attainedServiceMs += command.serviceMs;
    program.lastActiveAtMs = command.atMs;
    this.#extendHistory(program, call, command);
    replaceCall(program, {
      ...call,
      request: undefined,
      endedAtMs: command.atMs,
      outcome: command.outcome,
      decision: command.decision,
    });
    return ACCEPTED;
  }

  #refuse(command: RefuseCall): ApplyResult {
    const program = this.#programs.get(command.program);
    if (!program) return rejected("program-unknown");
    if (program.calls.some((call) => call.id === command.call)) return rejected("call-exists");
    if (program.refusedCalls.includes(command.call)) return rejected("call-refused");
    program.refusedCalls.push(command.call);
    program.refusals.push({ id: command.call, problem: command.problem, decision: command.decision });
    if (program.refusals.length > MAX_DETAILED_REFUSALS) program.refusals.shift();
    if (program.refusedCalls.length >= MAX_REFUSALS) this.#end(program.id, "limit", command.atMs);
    return ACCEPTED;
  }

  #openCall(id: string): { program: ProgramRecord; call: CallRecord } | undefined {
    const program = this.#programs.get(programOfCall(id));
    const call = program?.calls.find((record) => record.id === id);
    if (!program || !call || call.outcome) return undefined;
    return { program, call };
  }

  #extendHistory(program: ProgramRecord, call: CallRecord, command: FinishCall): void {
    const { outcome } = command;
    if (outcome.type !== "answered" || outcome.answer.type !== "completion") return;
    if (call.request?.type !== "completion") return;
    const { usage, text } = outcome.answer;
    for (const message of [...call.request.messages, { role: "assistant", content: text }]) {
      program.history.push(this.#createHistoryEntry(program, call.id, message));
    }
    program.historyTokens = usage.promptTokens + usage.completionTokens;
  }

  #createHistoryEntry(program: ProgramRecord, call: string, message: ChatMessage): HistoryEntry {
    const index = program.history.length + 1;
    const previous = program.history.at(-1)?.hash ?? "";
    const hash = this.#hash(`${program.id}|${index}|${message.role}|${message.content}|${previous}`);
    return { index, call, role: message.role, content: message.content, hash };
  }
}

function rejected(reason: RejectReason): ApplyResult {
  return { accepted: false, reason };
}

function replaceCall(program: ProgramRecord, changed: CallRecord): void {
  const position = program.calls.findIndex((call) => call.id === changed.id);
  program.calls[position] = changed;
}

/**
 * Returns the token count of an inherited history. A fork that omits part of the parent's history gets an upper bound,
 * because the engine counted only the whole history.
 */
function inheritedTokens(parent: ProgramRecord, history: readonly HistoryEntry[]): number {
  return history.length === parent.history.length ? parent.historyTokens : messageTokensBound(history);
}

function inheritedHistory(parent: ProgramRecord, afterCall: number): HistoryEntry[] {
  const included = new Set(parent.calls.filter((call) => call.number <= afterCall).map((call) => call.id));
  const inherited = (entry: HistoryEntry) =>
    programOfCall(entry.call) !== parent.id || included.has(entry.call);
  return parent.history.filter(inherited);
}
