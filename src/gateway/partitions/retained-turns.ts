/** The turns that are kept: recent ones of one partition's programs in memory, all in the store. */
import type { ReadOutcome } from "../../ports/store/row-store.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { TenantName } from "../../scheduling/ids/tenant-name.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { RetainedTurnContent } from "../gateway-messages.ts";
import { firstFound } from "./first-found.ts";
import { SlowCallThreshold } from "./slow-call-threshold.ts";
import { TurnCache } from "./turn-cache.ts";
import type { TurnLookup } from "./turn-lookup.ts";
import { decodeTurn, turnParts, turnRange } from "./turn-rows.ts";

/** Longest chain of turns that is put together. */
const MAX_CHAIN_TURNS = 1_000;

/** Bytes of turns that the owner of a partition keeps in memory; older ones are read from the store again. */
const MAX_CACHED_BYTES = 8 * 1024 * 1024;

/** What was said before a turn. */
export type HistoryOutcome =
  | { readonly type: "history"; readonly parts: readonly Uint8Array[] }
  | { readonly type: "noSuchTurn" }
  | { readonly type: "unavailable"; readonly detail: string };

/** What the store answers to a read. */
type RowsRead = Extract<ReadOutcome, { type: "rows" }>;

/** See the module's comment. */
export class RetainedTurns {
  readonly #context: GatewayContext;
  readonly #cache = new TurnCache(MAX_CACHED_BYTES);
  /** Newest version of the store that was seen: an answer that is older cannot say that a turn is not there. */
  readonly #newestVersion: () => number;
  /** Looks for a turn in the memory of the gateways, while the store does not answer for it. */
  readonly #findInGateways: (turn: RequestId) => Promise<TurnLookup>;
  /** How long reads of the store take. */
  readonly #slowReadThreshold = new SlowCallThreshold();

  constructor(
    context: GatewayContext,
    newestVersion: () => number,
    findInGateways: (turn: RequestId) => Promise<TurnLookup>,
  ) {
    this.#context = context;
    this.#newestVersion = newestVersion;
    this.#findInGateways = findInGateways;
  }

  /** A turn that is in memory here. */
  cached(turn: RequestId): RetainedTurnContent | undefined {
    return this.#cache.get(turn);
  }

  /** Keeps a turn in memory that has ended; the store has it. */
  cache(turn: RequestId, content: RetainedTurnContent): void {
    this.#cache.add(turn, content);
  }

  /** A turn that was kept: from memory, or as the store has it. Undefined where neither has it, or the store is silent. */
  async load(turn: RequestId): Promise<RetainedTurnContent | undefined> {
    const known = this.cached(turn);
    if (known) return known;
    const { hash, settings } = this.#context;
    const newestVersion = this.#newestVersion();
    const parts = turnParts(turn, settings.turnParts, hash);
    const lookup = await firstFound(parts.map((part) => this.#readPart(turn, part, newestVersion)));
    return lookup.type === "found" ? lookup.content : undefined;
  }

  /** Input and output of a turn of a tenant and of all before it, oldest first. */
  async history(turn: RequestId, tenant?: TenantName): Promise<HistoryOutcome> {
    const contents: RetainedTurnContent[] = [];
    for (let next: RequestId | undefined = turn; next !== undefined; ) {
      const lookup = await this.#findTurn(next);
      if (lookup.type === "unavailable") return lookup;
      // A turn that is there has all before it: they were kept first.
      if (lookup.type === "noSuchTurn") return contents.length === 0 ? lookup : unavailable("chain broken");
      // Another tenant's turn is as good as none. Those before it are its tenant's, too.
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
   * Looks in the turn's first part, in its others when that one does not have it, and in the gateways' memory when none
   * has. What takes longer than usual is not waited for before the next is asked.
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

  /** What a lookup finds; undefined when it takes longer than usual. */
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

/** What rows of the store say about a turn. */
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
