/** Which gateway hands out the places of a group: the one that rendezvous hashing prefers among those that may. */
import { preferredOwner } from "../../coordination/partition-ownership/index.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { DispatcherCandidate } from "../members/dispatcher-candidate.ts";
import type { MemberDirectory } from "../members/member-directory.ts";

/** How long an answer is kept before the members are looked at again, in ms. */
const CACHE_TTL_MS = 100;

/** See the module's comment. */
export class DispatcherDirectory {
  readonly #context: GatewayContext;
  readonly #members: Pick<MemberDirectory, "dispatcherCandidates">;
  readonly #dispatchers = new Map<string, DispatcherCandidate | undefined>();
  #candidates: readonly DispatcherCandidate[] = [];
  #refreshedAtMs = Number.NEGATIVE_INFINITY;

  constructor(context: GatewayContext, members: Pick<MemberDirectory, "dispatcherCandidates">) {
    this.#context = context;
    this.#members = members;
  }

  /** The dispatcher of a group; undefined when no gateway may be one. */
  of(pool: string, group: number): DispatcherCandidate | undefined {
    this.#refresh();
    const key = `${pool}/${group}`;
    if (this.#dispatchers.has(key)) return this.#dispatchers.get(key);
    const name = preferredOwner(this.#context.hash.hash32(key), this.#candidates);
    const dispatcher = this.#candidates.find((candidate) => candidate.name === name);
    this.#dispatchers.set(key, dispatcher);
    return dispatcher;
  }

  /** Whether this gateway is the dispatcher of a group. */
  isSelf(pool: string, group: number): boolean {
    return this.of(pool, group)?.instance === this.#context.instance;
  }

  /** A gateway is gone: looks at the members anew. */
  invalidate(): void {
    this.#refreshedAtMs = Number.NEGATIVE_INFINITY;
  }

  #refresh(): void {
    const nowMs = this.#context.clock.monotonicMs();
    if (nowMs - this.#refreshedAtMs < CACHE_TTL_MS) return;
    this.#refreshedAtMs = nowMs;
    this.#candidates = this.#members.dispatcherCandidates();
    this.#dispatchers.clear();
  }
}
