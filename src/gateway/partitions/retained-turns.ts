/** The retained turns of one partition's programs. All are in the store; recent ones are also in memory. */
import type { ReadOutcome } from "../../ports/store/row-store.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { TenantName } from "../../scheduling/ids/tenant-name.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { RetainedTurnContent } from "../gateway-messages.ts";
import { firstFound } from "./first-found.ts";
import { SlowCallThreshold } from "./slow-call-threshold.ts";
import type { TurnCache } from "./turn-cache.ts";
import type { TurnLookup } from "./turn-lookup.ts";
import { decodeTurn, turnParts, turnRange } from "./turn-rows.ts";

/** Longest chain of turns that is assembled into a history. */
const MAX_CHAIN_TURNS = 1_000;

/** The conversation before a turn, or why it is not available. */
export type HistoryOutcome =
  | { readonly type: "history"; readonly parts: readonly Uint8Array[] }
  | { readonly type: "noSuchTurn" }
  | { readonly type: "unavailable"; readonly detail: string };

/** Outcome of a read that the store answered. */
type RowsRead = Extract<ReadOutcome, { type: "rows" }>;

/** Caches retained turns, and looks up the others in the store and in the memory of the gateways. */
export class RetainedTurns {
  readonly #context: GatewayContext;
  /** Turns evicted from it are read from the store again. */
  readonly #cache: TurnCache;
  /** Newest store version seen. A read at an older version is stale and can't prove that a turn does not exist. */
  readonly #newestVersion: () => number;
  /** Looks up a turn in the memory of the gateways, for use when the store does not return it. */
  readonly #findInGateways: (turn: RequestId) => Promise<TurnLookup>;
  /** Time after which a read of the store is unusually slow. */
  readonly #slowReadThreshold = new SlowCallThreshold();

  /** @param cache may be shared with other partitions */
  constructor(
    context: GatewayContext,
    newestVersion: () => number,
    findInGateways: (turn: RequestId) => Promise<TurnLookup>,
    cache: TurnCache,
  ) {
    this.#cache = cache;
    this.#context = context;
    this.#newestVersion = newestVersion;
    this.#findInGateways = findInGateways;
  }

  /** Returns a turn from the in-memory cache. */
  cached(turn: RequestId): RetainedTurnContent | undefined {
    return this.#cache.get(turn);
  }

  /** Adds a completed turn that is already in the store to the in-memory cache. */
  cache(turn: RequestId, content: RetainedTurnContent): void {
    this.#cache.add(turn, content);
  }

  /** Looks up a turn in the cache and the store, and not in the memory of other gateways. */
  async load(turn: RequestId): Promise<TurnLookup> {
    const known = this.cached(turn);
    if (known) return { type: "found", content: known };
    const { hash, settings } = this.#context;
    const newestVersion = this.#newestVersion();
    const parts = turnParts(turn, settings.turnParts, hash);
    return firstFound(parts.map((part) => this.#readPart(turn, part, newestVersion)));
  }

  /** Returns the inputs and outputs of a tenant's turn and of all turns before it, oldest first. */
  async history(turn: RequestId, tenant?: TenantName): Promise<HistoryOutcome> {
    const contents: RetainedTurnContent[] = [];
    for (let next: RequestId | undefined = turn; next !== undefined; ) {
      const lookup = await this.#findTurn(next);
      if (lookup.type === "unavailable") return lookup;
      // A turn's predecessors are stored before it, so a missing predecessor means that the chain is broken.
      if (lookup.type === "noSuchTurn") return contents.length === 0 ? lookup : unavailable("chain broken");
      // Treat another tenant's turn as missing. Its predecessors belong to the same tenant as the turn itself.
      if (lookup.content.tenant !== tenant) return { type: "noSuchTurn" };
      if (contents.push(lookup.content) > MAX_CHAIN_TURNS) return unavailable("chain too long");
      next = lookup.content.previousTurn;
    }
    const parts = contents.reverse().flatMap(({ input, output }) => [input, output]);
    return { type: "history", parts };
  }

  async #findTurn(turn: RequestId): Promise<TurnLookup> {
    const known = this.cached(turn);
    if (known) return { type: "found", content: known };
    const lookup = await this.#readTurn(turn);
    if (lookup.type === "found") this.#cache.add(turn, lookup.content);
    return lookup;
  }

  /**
   * Looks up a turn in its first store part, then in its other parts, then in the memory of the gateways. If a step
   * takes longer than usual, the next one starts while it is still pending.
   */
  async #readTurn(turn: RequestId): Promise<TurnLookup> {
    const { hash, settings } = this.#context;
    const newestVersion = this.#newestVersion();
    const parts = turnParts(turn, settings.turnParts, hash);
    const read = (part: string) => this.#readPart(turn, part, newestVersion);
    const first = firstFound(parts.slice(0, 1).map(read));
    const firstResult = await this.#resultUnlessSlow(first);
    if (firstResult?.type === "found") return firstResult;
    const stored = firstFound([first, ...parts.slice(1).map(read)]);
    if (firstResult) {
      const lookup = await this.#resultUnlessSlow(stored);
      if (lookup?.type === "found") return lookup;
    }
    return firstFound([stored, this.#findInGateways(turn)]);
  }

  async #readPart(turn: RequestId, part: string, newestVersion: number): Promise<TurnLookup> {
    const { clock, platform } = this.#context;
    const startedMs = clock.monotonicMs();
    const outcome = await platform.store.read(turnRange(turn, part));
    if (outcome.type !== "rows") return unavailable(outcome.detail);
    this.#slowReadThreshold.recordAnswer(clock.monotonicMs() - startedMs);
    return contentOf(turn, outcome, newestVersion);
  }

  /** Resolves with the result of a lookup, or with undefined if it takes longer than usual. */
  #resultUnlessSlow(lookup: Promise<TurnLookup>): Promise<TurnLookup | undefined> {
    const { clock } = this.#context;
    return new Promise((resolve) => {
      const timer = clock.schedule(this.#slowReadThreshold.currentMs, () => resolve(undefined));
      void lookup.then((outcome) => {
        clock.cancel(timer);
        resolve(outcome);
      });
    });
  }
}

/** Converts rows read from the store to a lookup result. */
function contentOf(turn: RequestId, read: RowsRead, newestVersion: number): TurnLookup {
  const content = decodeTurn(turn, read.rows);
  if (content === "unreadable") return unavailable("the turn's rows cannot be read");
  if (content !== "absent") return { type: "found", content };
  if (read.version < newestVersion) return unavailable("the store's answer is old");
  return { type: "noSuchTurn" };
}

function unavailable(detail: string): { type: "unavailable"; detail: string } {
  return { type: "unavailable", detail };
}
