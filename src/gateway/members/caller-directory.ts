/** Names gateways to callers by what they can take, and notes when callers are sent to other zones. */
import type { GatewayCandidate } from "../../scheduling/caller-spread/gateway-candidate.ts";
import { spreadCallers } from "../../scheduling/caller-spread/spread-callers.ts";
import type { GatewayContext } from "../gateway-context.ts";

/** Most addresses in one answer. */
const MAX_ADDRESSES = 64;
/**
 * How long a draw holds, in ms. Callers leave connections to gateways that the next answer does not name: were the draws new
 * each time, they would open others all the time. Over many gateways that answer, the shares are right all the same.
 */
const DRAW_MS = 10_000;

/** A gateway that may be named. */
export type NamedGateway = Omit<GatewayCandidate, "draw">;

/** See the module's comment. */
export class CallerDirectory {
  readonly #context: GatewayContext;
  /** By address. */
  readonly #draws = new Map<string, number>();
  #drawnAtMs = Number.NEGATIVE_INFINITY;
  /** Zones whose callers were last told of gateways of other zones. */
  readonly #shortZones = new Set<string>();

  constructor(context: GatewayContext) {
    this.#context = context;
  }

  /** Addresses for a caller, in random order. */
  addresses(gateways: readonly NamedGateway[], zone: string | undefined): string[] {
    this.#drawAnew();
    const candidates = gateways.map((gateway) => ({ ...gateway, draw: this.#drawOf(gateway.address) }));
    const named = this.#shuffled(spreadCallers(candidates, zone)).slice(0, MAX_ADDRESSES);
    // Callers may say anything: only zones that have gateways are counted and remembered.
    const known = gateways.some((gateway) => gateway.zone === zone) ? zone : undefined;
    for (const gateway of named) this.#context.metrics.recordNamedGateway(gateway.zone, known);
    if (known !== undefined) this.#noteShortage(known, named);
    return named.map(({ address }) => address);
  }

  #drawAnew(): void {
    const nowMs = this.#context.clock.monotonicMs();
    if (nowMs - this.#drawnAtMs < DRAW_MS) return;
    this.#drawnAtMs = nowMs;
    this.#draws.clear();
  }

  #drawOf(address: string): number {
    const known = this.#draws.get(address) ?? this.#context.random.unit();
    this.#draws.set(address, known);
    return known;
  }

  #shuffled(candidates: GatewayCandidate[]): GatewayCandidate[] {
    for (let index = candidates.length - 1; index > 0; index -= 1) {
      const other = this.#context.random.below(index + 1);
      const moved = candidates[index] as GatewayCandidate;
      candidates[index] = candidates[other] as GatewayCandidate;
      candidates[other] = moved;
    }
    return candidates;
  }

  #noteShortage(zone: string, named: readonly GatewayCandidate[]): void {
    const guests = named.filter((gateway) => gateway.zone !== zone).length;
    const isShort = guests > 0;
    if (isShort === this.#shortZones.has(zone)) return;
    if (isShort) this.#shortZones.add(zone);
    else this.#shortZones.delete(zone);
    const text = isShort
      ? "callers are told of gateways of other zones"
      : "callers are told of their own zone";
    this.#context.log.info({ zone, named: named.length, ofOtherZones: guests }, text);
  }
}
