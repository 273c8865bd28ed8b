/** A partition owned by this gateway: its programs' token accounts and their retained turns. */

import type { RateHandOver } from "../../coordination/request-rate/index.ts";
import { type StoredAccount, TokenAccount } from "../../coordination/token-account/index.ts";
import { delay } from "../../runtime/clock.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type {
  AdmitTurnRequest,
  AdmitTurnResponse,
  EndTurnRequest,
  EndTurnResponse,
} from "../gateway-messages.ts";
import type { StoreHealth } from "../store-health.ts";
import { accountKey, decodeAccount } from "./partition-rows.ts";
import { PartitionWriter, type WritableAccount, type WriteOutcome } from "./partition-writer.ts";
import type { ProgramLimit } from "./program-limit.ts";
import { type InheritedLookup, type ProgramState, ProgramStates, WHOLE_PROGRAM } from "./program-states.ts";
import { type HistoryOutcome, RetainedTurns } from "./retained-turns.ts";
import type { TurnCache } from "./turn-cache.ts";
import type { TurnLookup } from "./turn-lookup.ts";

/** The accounts of a partition's programs as read from the store. */
export interface StoredAccounts {
  readonly accounts: ReadonlyMap<ProgramId, StoredAccount>;
  /** Programs whose account rows can't be decoded. */
  readonly unreadable: ReadonlySet<ProgramId>;
}

/** Time between two lookups of the turns that a program has inherited, in ms. */
const INHERITED_LOOKUP_INTERVAL_MS = 1_000;

/** Part of `settleMs` after which a program without turns counts as idle; the rest is for the store. */
const IDLE_FRACTION = 0.6;

/** The owner reports an unrecorded grant this long before the requesting gateway times out, in ms. */
const ANSWER_MARGIN_MS = 100;

/** Result for a request to a partition that this gateway no longer owns. */
export const MOVED = "moved";

/** Dependencies and identity of an {@link OwnedPartition}. */
export interface OwnedPartitionOptions {
  readonly context: GatewayContext;
  readonly health: StoreHealth;
  readonly partition: number;
  /** Version of the owner row that this owner wrote when it took over. */
  readonly epoch: number;
  readonly findTurn: (turn: RequestId) => Promise<TurnLookup>;
  /** Caches retained turns; shared by all partitions of this gateway, and so is the limit on programs. */
  readonly turnCache: TurnCache;
  readonly programLimit: ProgramLimit;
  /** Called once when this gateway loses or releases the partition. */
  readonly onLost: () => void;
}

/** Admits turns, charges their tokens to the accounts and keeps recent retained turns in memory. */
export class OwnedPartition {
  readonly partition: number;
  readonly epoch: number;
  readonly #context: GatewayContext;
  readonly #programs: ProgramStates;
  /** Programs that are being read from the store. */
  readonly #reading = new Map<ProgramId, Promise<ProgramState | undefined>>();
  /** Programs whose accounts can't be decoded. Their budgets may be used up, so no turn with a budget is granted. */
  readonly #unreadable: Set<ProgramId>;
  readonly #turns: RetainedTurns;
  readonly #writer: PartitionWriter;
  readonly #health: StoreHealth;
  #isReleasing = false;

  /** @param stored the accounts of the partition's programs as read from the store */
  constructor(options: OwnedPartitionOptions, stored: StoredAccounts) {
    this.#context = options.context;
    this.partition = options.partition;
    this.epoch = options.epoch;
    const { context, health, findTurn, turnCache } = options;
    this.#turns = new RetainedTurns(context, () => health.newestVersion, findTurn, turnCache);
    this.#programs = new ProgramStates(options.programLimit);
    this.#writer = new PartitionWriter(options);
    this.#health = health;
    this.#unreadable = new Set(stored.unreadable);
    for (const [program, account] of stored.accounts) this.#addStored(program, account);
  }

  /** Decides whether a turn may run; see {@link AdmitTurnRequest}. */
  async admit(request: AdmitTurnRequest): Promise<AdmitTurnResponse | typeof MOVED> {
    if (this.#isReleasing) return MOVED;
    const program = this.#programs.use(request.program) ?? (await this.#addOrRead(request.program));
    if (this.#isReleasing) return MOVED;
    if (!program || (request.budget && this.#unreadable.has(request.program)))
      return { type: "unavailable", detail: "the program's account cannot be read" };
    let reserved = this.#reserve(program, request);
    if (reserved === "exhausted") {
      const inherited = await this.#settleInherited(program);
      if (this.#isReleasing) return MOVED;
      reserved = this.#reserve(program, request);
      if (reserved === "exhausted" && inherited === "unknown")
        return { type: "unavailable", detail: "the store does not say what earlier turns used" };
    }
    if (reserved === "exhausted") return { type: "exhausted", spent: program.account.committed };
    const [recorded, history] = await Promise.all([reserved, this.#history(request)]);
    if (recorded === "lost") return MOVED;
    // Keep the reservation until the turn is reported as ended: another request for the same turn may still be waiting
    // or may have been granted.
    if (history.type !== "history") return history;
    if (recorded === "late")
      return { type: "unavailable", detail: "the store has not recorded the grant in time" };
    const runner =
      program.runners.get(request.session ?? WHOLE_PROGRAM) ?? program.runners.get(WHOLE_PROGRAM);
    return { type: "granted", history: history.parts, runner };
  }

  /** Records the end of a turn; see {@link EndTurnRequest}. */
  end(request: EndTurnRequest): EndTurnResponse | typeof MOVED {
    const { turn, tokens, budget, retained, runner } = request;
    if (this.#isReleasing) return MOVED;
    const program = this.#programs.use(request.program) ?? this.#addUnlessDropped(request.program);
    // A program that was dropped has no turn in progress, so that its account does not change.
    const settled = budget !== undefined && program?.account.settle(turn, tokens);
    if (program && runner !== undefined) {
      program.runners.set(request.session ?? WHOLE_PROGRAM, runner);
      program.runners.set(WHOLE_PROGRAM, runner);
    }
    if (program && settled) {
      this.#replenish(program.account, request.program, budget);
      this.#startIdleTimer(program, request.program);
    }
    if (retained) this.#turns.cache(turn, retained);
    return { type: "ended" };
  }

  /** Drops the programs from memory: this gateway no longer owns the partition. */
  forgetPrograms(): void {
    this.#programs.clear();
  }

  /**
   * Writes all changed accounts and releases the partition.
   *
   * @param handOverRates returns the remaining rate limits of tenants; this gateway admits none of their requests after
   *   the call
   */
  async release(handOverRates: () => RateHandOver | undefined): Promise<void> {
    this.#isReleasing = true;
    const accounts = new Map<ProgramId, WritableAccount>();
    for (const [program, { account }] of this.#programs.entries()) {
      if (account.hasTokensAhead) accounts.set(program, releasedAccount(account));
    }
    await this.#writer.release(accounts, handOverRates);
  }

  /** Stops writing, because another owner has taken over. */
  stop(): void {
    this.#writer.stop();
  }

  /** Adds a program that is not in memory, unless the store may have an account of it. */
  #addUnlessDropped(name: ProgramId): ProgramState | undefined {
    return this.#programs.hasDropped ? undefined : this.#programs.add(name, new TokenAccount(), []);
  }

  /** Adds a program that is not in memory, with its account in the store if it may have one; undefined if that can't be read. */
  async #addOrRead(name: ProgramId): Promise<ProgramState | undefined> {
    const added = this.#addUnlessDropped(name);
    if (added) return added;
    const reading = this.#reading.get(name) ?? this.#readProgram(name);
    this.#reading.set(name, reading);
    const program = await reading;
    this.#reading.delete(name);
    return program;
  }

  async #readProgram(name: ProgramId): Promise<ProgramState | undefined> {
    const { table, part, key } = accountKey(this.partition, name);
    const read = await this.#context.platform.store.read({ table, part, from: key, limit: 1 });
    this.#health.recordOutcome(read);
    if (read.type !== "rows" || read.version < this.epoch) return undefined;
    const row = read.rows.find((candidate) => candidate.key === key);
    if (!row) return this.#programs.add(name, new TokenAccount(), []);
    const account = decodeAccount(row.value);
    if (account) return this.#addStored(name, account);
    this.#unreadable.add(name);
    return undefined;
  }

  #addStored(name: ProgramId, account: StoredAccount): ProgramState {
    const open = account.open.map(([turn]) => turn as RequestId);
    return this.#programs.add(name, new TokenAccount(account), open);
  }

  /**
   * Reserves tokens for a turn. Resolves once the store has the reservation, or with `late` shortly before the
   * requesting gateway times out.
   */
  #reserve(program: ProgramState, request: AdmitTurnRequest): Promise<WriteOutcome | "late"> | "exhausted" {
    const { turn, budget } = request;
    if (!budget) return Promise.resolve("recorded");
    const { account } = program;
    const { aheadTurns } = this.#context.settings.budget;
    const grant = account.admit(turn, budget.most, budget.tokens, aheadTurns);
    if (grant.type === "exhausted") return "exhausted";
    if (account.isRevisionStored(grant.revision)) return Promise.resolve("recorded");
    const waitMs = this.#context.settings.timing.ownerWaitMs - ANSWER_MARGIN_MS;
    const late = delay(this.#context.clock, waitMs).then(() => "late" as const);
    return Promise.race([this.#writer.writeAccount(request.program, account), late]);
  }

  /** Looks inherited turns up, at most once per interval; requests that come meanwhile wait for the same lookup. */
  #settleInherited(program: ProgramState): Promise<InheritedLookup> {
    const nowMs = this.#context.clock.monotonicMs();
    if (program.inherited.size > 0 && nowMs >= program.nextLookupAtMs) {
      program.nextLookupAtMs = nowMs + INHERITED_LOOKUP_INTERVAL_MS;
      program.lookup = this.#lookUpInherited(program);
    }
    return program.lookup;
  }

  /**
   * Charges turns left in progress by a previous owner with their actual usage, if they are retained. Their ends are
   * never reported once the gateways that served them are gone.
   */
  async #lookUpInherited({ account, inherited }: ProgramState): Promise<InheritedLookup> {
    const turns = [...inherited];
    const lookups = await Promise.all(turns.map((turn) => this.#turns.load(turn)));
    for (const [index, lookup] of lookups.entries()) {
      if (lookup.type !== "found") continue;
      const turn = turns[index] as RequestId;
      inherited.delete(turn);
      const { tokens } = lookup.content;
      if (tokens !== undefined) account.settle(turn, tokens);
    }
    return lookups.some(({ type }) => type === "unavailable") ? "unknown" : "known";
  }

  #replenish(account: TokenAccount, program: ProgramId, budget: { tokens: number; most: number }): void {
    const { aheadTurns } = this.#context.settings.budget;
    if (!account.replenish(budget.most, budget.tokens, aheadTurns)) return;
    void this.#writer.writeAccount(program, account);
  }

  #startIdleTimer(program: ProgramState, name: ProgramId): void {
    const { clock, settings } = this.#context;
    if (program.idleTimer) clock.cancel(program.idleTimer);
    const delayMs = settings.budget.settleMs * IDLE_FRACTION;
    program.idleTimer = clock.schedule(delayMs, () => this.#onIdle(program, name));
  }

  /** Gives back what is reserved for future turns, unless one is in progress, so that it is not lost with this owner. */
  #onIdle(program: ProgramState, name: ProgramId): void {
    program.idleTimer = undefined;
    if (this.#isReleasing || this.#writer.isLost) return;
    const { account } = program;
    // While the store is away, the reservation is what turns are granted from.
    if (account.isWritePending || !this.#health.reachable) this.#startIdleTimer(program, name);
    else if (account.giveBackAhead()) void this.#writer.writeAccount(name, account);
  }

  async #history({ history }: AdmitTurnRequest): Promise<HistoryOutcome> {
    if (history?.previousTurn === undefined) return { type: "history", parts: [] };
    return this.#turns.history(history.previousTurn, history.tenant);
  }
}

/** Wraps an account so that its snapshots reserve nothing for future turns. Used when a partition is released. */
function releasedAccount(account: TokenAccount): WritableAccount {
  return {
    revision: account.revision,
    isRevisionStored: (revision) => account.isRevisionStored(revision),
    snapshot: () => account.snapshot(true),
    markStored: (snapshot) => account.markStored(snapshot),
  };
}
