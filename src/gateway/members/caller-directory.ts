/**
 * Selects the gateway addresses that callers receive, weighted by headroom. Logs when callers of a zone start or stop
 * receiving gateways of other zones.
 */
import type { GatewayCandidate } from "../../scheduling/caller-spread/gateway-candidate.ts";
import { selectGateways } from "../../scheduling/caller-spread/select-gateways.ts";
import type { GatewayContext } from "../gateway-context.ts";

/** Maximum number of addresses per response. */
const MAX_ADDRESSES = 64;
/**
 * How long a gateway's random draw is reused, in ms. Callers close connections to gateways that are missing from the next
 * response, so a new draw for each response would make them reconnect all the time. The shares are still right on average,
 * because many gateways respond, each with its own draws.
 */
const DRAW_LIFETIME_MS = 10_000;

/** A ready gateway, before its random draw. */
export type ReadyGateway = Omit<GatewayCandidate, "draw">;

/** Selects gateway addresses for callers. */
export class CallerDirectory {
  readonly #context: GatewayContext;
  /** Current draws, by gateway address. */
  readonly #draws = new Map<string, number>();
  #drawnAtMs = Number.NEGATIVE_INFINITY;
  /** Zones whose callers last received gateways of other zones. */
  readonly #overflowZones = new Set<string>();

  constructor(context: GatewayContext) {
    this.#context = context;
  }

  /**
   * Returns addresses for a caller, in random order.
   *
   * @param gateways the gateways that are ready
   * @param zone the caller's zone, as it states it
   */
  addresses(gateways: readonly ReadyGateway[], zone: string | undefined): string[] {
    this.#expireDraws();
    const candidates = gateways.map((gateway) => ({ ...gateway, draw: this.#drawOf(gateway.address) }));
    const named = this.#shuffle(selectGateways(candidates, zone)).slice(0, MAX_ADDRESSES);
    // A caller can send any zone name. Only zones that have gateways are counted and stored, so the set stays small.
    const knownZone = gateways.some((gateway) => gateway.zone === zone) ? zone : undefined;
    for (const gateway of named) this.#context.metrics.recordNamedGateway(gateway.zone, knownZone);
    if (knownZone !== undefined) this.#logOverflow(knownZone, named);
    return named.map(({ address }) => address);
  }

  #expireDraws(): void {
    const nowMs = this.#context.clock.monotonicMs();
    if (nowMs - this.#drawnAtMs < DRAW_LIFETIME_MS) return;
    this.#drawnAtMs = nowMs;
    this.#draws.clear();
  }

  #drawOf(address: string): number {
    const known = this.#draws.get(address) ?? this.#context.random.unit();
    this.#draws.set(address, known);
    return known;
  }

  #shuffle(candidates: GatewayCandidate[]): GatewayCandidate[] {
    for (let index = candidates.length - 1; index > 0; index -= 1) {
      const other = this.#context.random.below(index + 1);
      const moved = candidates[index] as GatewayCandidate;
      candidates[index] = candidates[other] as GatewayCandidate;
      candidates[other] = moved;
    }
    return candidates;
  }

  #logOverflow(zone: string, named: readonly GatewayCandidate[]): void {
    const otherZoneCount = named.filter((gateway) => gateway.zone !== zone).length;
    const isOverflowing = otherZoneCount > 0;
    if (isOverflowing === this.#overflowZones.has(zone)) return;
    if (isOverflowing) this.#overflowZones.add(zone);
    else this.#overflowZones.delete(zone);
    const text = isOverflowing
      ? "callers are told of gateways of other zones"
      : "callers are told of their own zone";
    this.#context.log.info({ zone, named: named.length, ofOtherZones: otherZoneCount }, text);
  }
}
