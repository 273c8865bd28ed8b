/** One partition that this gateway owns: the accounts of its programs, and their retained turns. */

import { type StoredAccount, TokenAccount } from "../../coordination/token-account/index.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type {
  AdmitTurnRequest,
  AdmitTurnResponse,
  EndTurnRequest,
  EndTurnResponse,
} from "../gateway-messages.ts";
import type { StoreHealth } from "../store-health.ts";
import { PartitionWriter, type WritableAccount } from "./partition-writer.ts";
import { type HistoryOutcome, RetainedTurns } from "./retained-turns.ts";
import type { TurnWriter } from "./turn-writer.ts";

/** What this gateway remembers of a program, beside its account. */
interface ProgramState {
  readonly account: TokenAccount;
  /** The runner of the last turn, by session; the empty text stands for the whole program. */
  readonly runners: Map<string, RunnerId>;
}

const WHOLE_PROGRAM = "";

/** The partition has another owner now. */
export const MOVED = "moved";

/** See the module's comment. */
export class OwnedPartition {
  readonly partition: number;
  readonly epoch: number;
  readonly #context: GatewayContext;
  readonly #health: StoreHealth;
  readonly #programs = new Map<ProgramId, ProgramState>();
  readonly #turns: RetainedTurns;
  readonly #turnWriter: TurnWriter;
  readonly #writer: PartitionWriter;
  #releasing = false;

  constructor(
    context: GatewayContext,
    partition: number,
    epoch: number,
    accounts: ReadonlyMap<ProgramId, StoredAccount>,
    health: StoreHealth,
    turnWriter: TurnWriter,
    onLost: () => void,
  ) {
    this.#context = context;
    this.partition = partition;
    this.epoch = epoch;
    for (const [program, stored] of accounts) {
      this.#programs.set(program, { account: new TokenAccount(stored), runners: new Map() });
    }
    this.#health = health;
    this.#turnWriter = turnWriter;
    this.#turns = new RetainedTurns(context, () => health.newestVersion);
    this.#writer = new PartitionWriter(context, partition, epoch, onLost, health);
  }

  /** Answers whether a turn may run; see {@link AdmitTurnRequest}. */
  async admit(request: AdmitTurnRequest): Promise<AdmitTurnResponse | typeof MOVED> {
    if (this.#releasing) return MOVED;
    const program = this.#program(request.program);
    const reserved = this.#reserve(program, request);
    if (reserved === "exhausted") return { type: "exhausted", spent: program.account.committed };
    if (reserved === "unavailable") return { type: "unavailable", detail: "the store does not answer" };
    const [committed, history] = await Promise.all([reserved, this.#history(request)]);
    if (!committed) return MOVED;
    if (history.type !== "history") {
      program.account.settle(request.turn, 0);
      return history;
    }
    const runner =
      program.runners.get(request.session ?? WHOLE_PROGRAM) ?? program.runners.get(WHOLE_PROGRAM);
    return { type: "granted", history: history.parts, runner };
  }

  /** Takes in how a turn ended; see {@link EndTurnRequest}. */
  async end(request: EndTurnRequest): Promise<EndTurnResponse | typeof MOVED> {
    const { turn, tokens, budget, retained, runner } = request;
    if (this.#releasing) return MOVED;
    const program = this.#program(request.program);
    const settled = budget !== undefined && program.account.settle(turn, tokens);
    if (runner !== undefined) {
      program.runners.set(request.session ?? WHOLE_PROGRAM, runner);
      program.runners.set(WHOLE_PROGRAM, runner);
    }
    if (settled) this.#replenish(program.account, request.program, budget);
    if (!retained) return { type: "ended" };
    if (!(await this.#turnWriter.write(turn, retained))) {
      return { type: "unavailable", detail: "the store does not take the turn" };
    }
    this.#turns.add(turn, retained);
    return { type: "ended" };
  }

  /** Writes everything and lets go of the partition. */
  async release(): Promise<void> {
    this.#releasing = true;
    const accounts = new Map<ProgramId, WritableAccount>();
    for (const [program, { account }] of this.#programs) {
      if (!account.holdsAhead) continue;
      accounts.set(program, {
        snapshot: () => account.snapshot(true),
        stored: (snapshot) => account.stored(snapshot),
      });
    }
    await this.#writer.release(accounts);
  }

  /** Another owner has taken over. */
  stop(): void {
    this.#writer.stop();
  }

  #program(name: ProgramId): ProgramState {
    const known = this.#programs.get(name);
    if (known) return known;
    const program: ProgramState = { account: new TokenAccount(), runners: new Map() };
    this.#programs.set(name, program);
    return program;
  }

  /** Sets tokens aside for a turn; resolves with false when the partition is lost. */
  #reserve(program: ProgramState, request: AdmitTurnRequest): Promise<boolean> | "exhausted" | "unavailable" {
    const { turn, budget } = request;
    if (!budget) return Promise.resolve(true);
    const { account } = program;
    const { aheadTurns } = this.#context.settings.budget;
    const grant = account.admit(turn, budget.most, budget.tokens, aheadTurns);
    if (grant.type === "exhausted") return "exhausted";
    if (account.holds(grant.revision)) return Promise.resolve(true);
    if (this.#health.reachable) return this.#writer.writeAccount(request.program, account);
    account.settle(turn, 0);
    return "unavailable";
  }

  #replenish(account: TokenAccount, program: ProgramId, budget: { tokens: number; most: number }): void {
    const { aheadTurns } = this.#context.settings.budget;
    if (!account.replenish(budget.most, budget.tokens, aheadTurns)) return;
    void this.#writer.writeAccount(program, account);
  }

  async #history({ history }: AdmitTurnRequest): Promise<HistoryOutcome> {
    if (history?.previousTurn === undefined) return { type: "history", parts: [] };
    return this.#turns.history(history.previousTurn);
  }
}
