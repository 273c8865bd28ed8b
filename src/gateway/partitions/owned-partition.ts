/** One partition that this gateway owns: the accounts of its programs, and their retained turns. */

import type { RateHandOver } from "../../coordination/request-rate/index.ts";
import { type StoredAccount, TokenAccount } from "../../coordination/token-account/index.ts";
import { delay } from "../../runtime/clock.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type {
  AdmitTurnRequest,
  AdmitTurnResponse,
  EndTurnRequest,
  EndTurnResponse,
  RetainedTurnContent,
} from "../gateway-messages.ts";
import type { StoreHealth } from "../store-health.ts";
import { PartitionWriter, type WritableAccount, type WriteOutcome } from "./partition-writer.ts";
import { type HistoryOutcome, RetainedTurns } from "./retained-turns.ts";
import type { TurnLookup } from "./turn-lookup.ts";

/** What this gateway remembers of a program, beside its account. */
interface ProgramState {
  readonly account: TokenAccount;
  /** The runner of the last turn, by session; the empty text stands for the whole program. */
  readonly runners: Map<string, RunnerId>;
  /** Turns that an earlier owner left under way, and that may have ended without this one being told. */
  readonly inherited: Set<RequestId>;
}

/** What the store has of the accounts of a partition's programs. */
export interface StoredAccounts {
  readonly accounts: ReadonlyMap<ProgramId, StoredAccount>;
  /** Programs whose rows can't be read. */
  readonly unreadable: ReadonlySet<ProgramId>;
}

const WHOLE_PROGRAM = "";

/** How much earlier than its asker gives up the owner says that a grant is not recorded yet, in ms. */
const ANSWER_MARGIN_MS = 100;

/** The partition has another owner now. */
export const MOVED = "moved";

/** What an owned partition is made of. */
export interface OwnedPartitionOptions {
  readonly context: GatewayContext;
  readonly health: StoreHealth;
  readonly partition: number;
  /** Version of the owner's row, as this owner wrote it. */
  readonly epoch: number;
  readonly findTurn: (turn: RequestId) => Promise<TurnLookup>;
  /** Called once when another owner has taken over. */
  readonly onLost: () => void;
}

/** See the module's comment. */
export class OwnedPartition {
  readonly partition: number;
  readonly epoch: number;
  readonly #context: GatewayContext;
  readonly #programs = new Map<ProgramId, ProgramState>();
  /** Programs whose accounts can't be read: all of their budgets may be spent, and nothing is granted. */
  readonly #unreadable: ReadonlySet<ProgramId>;
  readonly #turns: RetainedTurns;
  readonly #writer: PartitionWriter;
  #isReleasing = false;

  /** @param stored the accounts of the partition's programs, as the store has them */
  constructor(options: OwnedPartitionOptions, stored: StoredAccounts) {
    this.#context = options.context;
    this.partition = options.partition;
    this.epoch = options.epoch;
    this.#turns = new RetainedTurns(options.context, () => options.health.newestVersion, options.findTurn);
    this.#writer = new PartitionWriter(options);
    this.#unreadable = stored.unreadable;
    for (const [program, account] of stored.accounts)
      this.#addProgram(
        program,
        new TokenAccount(account),
        account.open.map(([turn]) => turn as RequestId),
      );
  }

  /** Answers whether a turn may run; see {@link AdmitTurnRequest}. */
  async admit(request: AdmitTurnRequest): Promise<AdmitTurnResponse | typeof MOVED> {
    if (this.#isReleasing) return MOVED;
    if (request.budget && this.#unreadable.has(request.program))
      return { type: "unavailable", detail: "the program's account cannot be read" };
    const program = this.#getOrAddProgram(request.program);
    let reserved = this.#reserve(program, request);
    if (reserved === "exhausted" && (await this.#settleInherited(program))) {
      if (this.#isReleasing) return MOVED;
      reserved = this.#reserve(program, request);
    }
    if (reserved === "exhausted") return { type: "exhausted", spent: program.account.committed };
    const [recorded, history] = await Promise.all([reserved, this.#history(request)]);
    if (recorded === "lost") return MOVED;
    // The turn stays under way until its asker tells its end: another ask for it may wait still, or have been granted.
    if (history.type !== "history") return history;
    if (recorded === "late")
      return { type: "unavailable", detail: "the store has not recorded the grant in time" };
    const runner =
      program.runners.get(request.session ?? WHOLE_PROGRAM) ?? program.runners.get(WHOLE_PROGRAM);
    return { type: "granted", history: history.parts, runner };
  }

  /** Records how a turn ended; see {@link EndTurnRequest}. */
  end(request: EndTurnRequest): EndTurnResponse | typeof MOVED {
    const { turn, tokens, budget, retained, runner } = request;
    if (this.#isReleasing) return MOVED;
    const program = this.#getOrAddProgram(request.program);
    const settled = budget !== undefined && program.account.settle(turn, tokens);
    if (runner !== undefined) {
      program.runners.set(request.session ?? WHOLE_PROGRAM, runner);
      program.runners.set(WHOLE_PROGRAM, runner);
    }
    if (settled) this.#replenish(program.account, request.program, budget);
    if (retained) this.#turns.cache(turn, retained);
    return { type: "ended" };
  }

  /** A turn that is in memory here. */
  cachedTurn(turn: RequestId): RetainedTurnContent | undefined {
    return this.#turns.cached(turn);
  }

  /**
   * Writes everything and releases the partition.
   *
   * @param handOverRates gives what is left of tenants' limits; nothing is admitted here after it
   */
  async release(handOverRates: () => RateHandOver | undefined): Promise<void> {
    this.#isReleasing = true;
    const accounts = new Map<ProgramId, WritableAccount>();
    for (const [program, { account }] of this.#programs) {
      if (account.holdsAhead) accounts.set(program, releasedAccount(account));
    }
    await this.#writer.release(accounts, handOverRates);
  }

  /** Another owner has taken over. */
  stop(): void {
    this.#writer.stop();
  }

  #getOrAddProgram(name: ProgramId): ProgramState {
    return this.#programs.get(name) ?? this.#addProgram(name, new TokenAccount());
  }

  #addProgram(name: ProgramId, account: TokenAccount, inherited: readonly RequestId[] = []): ProgramState {
    const program: ProgramState = { account, runners: new Map(), inherited: new Set(inherited) };
    this.#programs.set(name, program);
    return program;
  }

  /** Reserves tokens for a turn. */
  #reserve(program: ProgramState, request: AdmitTurnRequest): Promise<WriteOutcome | "late"> | "exhausted" {
    const { turn, budget } = request;
    if (!budget) return Promise.resolve("recorded");
    const { account } = program;
    const { aheadTurns } = this.#context.settings.budget;
    const grant = account.admit(turn, budget.most, budget.tokens, aheadTurns);
    if (grant.type === "exhausted") return "exhausted";
    if (account.holds(grant.revision)) return Promise.resolve("recorded");
    const waitMs = this.#context.settings.timing.ownerWaitMs - ANSWER_MARGIN_MS;
    const late = delay(this.#context.clock, waitMs).then(() => "late" as const);
    return Promise.race([this.#writer.writeAccount(request.program, account), late]);
  }

  /**
   * Charges turns that an earlier owner left under way with what they used, where the store has kept their answers: nobody
   * tells their end once the gateways that knew it are gone. Returns whether any was found.
   */
  async #settleInherited({ account, inherited }: ProgramState): Promise<boolean> {
    const turns = [...inherited];
    inherited.clear();
    const contents = await Promise.all(turns.map((turn) => this.#turns.load(turn)));
    const settled = contents.map((content, index) => {
      const turn = turns[index] as RequestId;
      return content?.tokens !== undefined && account.settle(turn, content.tokens);
    });
    return settled.includes(true);
  }

  #replenish(account: TokenAccount, program: ProgramId, budget: { tokens: number; most: number }): void {
    const { aheadTurns } = this.#context.settings.budget;
    if (!account.replenish(budget.most, budget.tokens, aheadTurns)) return;
    void this.#writer.writeAccount(program, account);
  }

  async #history({ history }: AdmitTurnRequest): Promise<HistoryOutcome> {
    if (history?.previousTurn === undefined) return { type: "history", parts: [] };
    return this.#turns.history(history.previousTurn, history.tenant);
  }
}

/** An account as it is written at the end: with nothing reserved for turns to come. */
function releasedAccount(account: TokenAccount): WritableAccount {
  return {
    revision: account.revision,
    holds: (revision) => account.holds(revision),
    snapshot: () => account.snapshot(true),
    stored: (snapshot) => account.stored(snapshot),
  };
}
