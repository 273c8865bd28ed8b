/** Finds the gateway that hands out the places of a group: the first choice of rendezvous hashing among the candidates. */
import { preferredOwner } from "../../coordination/partition-ownership/index.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayCandidate } from "../members/gateway-candidate.ts";
import type { MemberDirectory } from "../members/member-directory.ts";

/** How long results are cached before the members are read again, in ms. */
const CACHE_TTL_MS = 100;

export class DispatcherDirectory {
  readonly #context: GatewayContext;
  readonly #members: Pick<MemberDirectory, "dispatcherCandidates">;
  readonly #dispatchers = new Map<string, GatewayCandidate | undefined>();
  #candidates: readonly GatewayCandidate[] = [];
  #refreshedAtMs = Number.NEGATIVE_INFINITY;

  constructor(context: GatewayContext, members: Pick<MemberDirectory, "dispatcherCandidates">) {
    this.#context = context;
    this.#members = members;
  }

  /** The dispatcher of a group; undefined when there is no candidate. */
  of(pool: string, group: number): GatewayCandidate | undefined {
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

  /** Invalidates the cached results, since a gateway is gone. */
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
