/** The programs of one partition that are in memory. The ones that were used longest ago are dropped when there are too many. */

import type { TokenAccount } from "../../coordination/token-account/index.ts";
import type { TimerHandle } from "../../runtime/clock.ts";
import type { ProgramId } from "../../scheduling/ids/program-id.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { ProgramLimit } from "./program-limit.ts";

/** Programs that are looked at, the oldest first, whenever one is added beyond the limit. */
const MAX_EXAMINED = 8;

/** Whether the store said of each inherited turn if it has it. */
export type InheritedLookup = "known" | "unknown";

/** In-memory state of a program. */
export interface ProgramState {
  readonly account: TokenAccount;
  /** Runner of the last turn by session. The key {@link WHOLE_PROGRAM} holds the last turn of any session. */
  readonly runners: Map<string, RunnerId>;
  /**
   * Turns that a previous owner left in progress and that have not been found in the store. They may have ended without this
   * owner being notified, or may be stored later.
   */
  readonly inherited: Set<RequestId>;
  /** When inherited turns may be looked up again, in ms on the monotonic clock. */
  nextLookupAtMs: number;
  /** The last lookup of inherited turns. */
  lookup: Promise<InheritedLookup>;
  /** Runs from the end of the last turn on. */
  idleTimer: TimerHandle | undefined;
}

/** The key of the last runner of any session. */
export const WHOLE_PROGRAM = "";

export class ProgramStates {
  readonly #limit: ProgramLimit;
  /** The ones used longest ago first. */
  readonly #states = new Map<ProgramId, ProgramState>();
  #hasDropped = false;

  constructor(limit: ProgramLimit) {
    this.#limit = limit;
  }

  /** Whether programs were dropped: the store may have accounts of programs that are not in memory. */
  get hasDropped(): boolean {
    return this.#hasDropped;
  }

  /** Returns a program that is in memory. */
  use(name: ProgramId): ProgramState | undefined {
    const state = this.#states.get(name);
    if (!state) return undefined;
    this.#states.delete(name);
    this.#states.set(name, state);
    return state;
  }

  /** Adds a program that is not in memory, and drops others if there are too many. */
  add(name: ProgramId, account: TokenAccount, inherited: readonly RequestId[]): ProgramState {
    const state: ProgramState = {
      account,
      runners: new Map(),
      inherited: new Set(inherited),
      nextLookupAtMs: 0,
      lookup: Promise.resolve("known"),
      idleTimer: undefined,
    };
    if (this.#limit.isExceeded) this.#dropOldest();
    this.#states.set(name, state);
    this.#limit.add(name);
    return state;
  }

  entries(): IterableIterator<[ProgramId, ProgramState]> {
    return this.#states.entries();
  }

  /** Drops all programs: the partition has another owner. */
  clear(): void {
    for (const name of this.#states.keys()) this.#limit.remove(name);
    this.#states.clear();
  }

  #dropOldest(): void {
    let examined = 0;
    for (const [name, state] of this.#states) {
      if (examined === MAX_EXAMINED || !this.#limit.isExceeded) return;
      examined += 1;
      if (!isDroppable(state)) continue;
      this.#states.delete(name);
      this.#limit.remove(name);
      this.#hasDropped = true;
    }
  }
}

/** Whether the store knows all that must be known of a program. */
function isDroppable({ account, inherited, idleTimer }: ProgramState): boolean {
  return idleTimer === undefined && inherited.size === 0 && account.isStoredExactly;
}
