/**
 * Selects the gateways whose addresses are returned to a caller. Callers choose one of them at random, so a gateway with less
 * headroom than the others of its zone is left out of some answers. If a zone is short of headroom for its callers, gateways
 * of other zones that have headroom are added, the more, the greater the shortage. Pure.
 */
import type { GatewayCandidate } from "./gateway-candidate.ts";
import { FULL_HEADROOM } from "./headroom.ts";

/** If a caller's zone has fewer gateways, those of all zones are used: one may be lost before the caller's next request. */
const MIN_ZONE_GATEWAYS = 2;
/**
 * Minimum number of gateways in an answer, if that many exist: some may be lost before the next answer, since callers cache
 * an answer for a while.
 */
const MIN_SELECTED_GATEWAYS = 4;
/**
 * A zone is short of headroom if the better half of its gateways has less than this fraction of the full headroom, so that
 * callers are sent to other zones before the zone is full.
 */
const SHORTAGE_THRESHOLD = 0.6;
/** Time over which the weight of a new gateway rises to its full value, in ms. */
const SLOW_START_MS = 3_000;
/** Fraction of its full weight that a new gateway starts with. */
const SLOW_START_INITIAL_FACTOR = 0.25;

/** Returns the gateways for a caller of a zone. The result is empty only if there are no candidates. */
export function selectGateways(
  candidates: readonly GatewayCandidate[],
  zone: string | undefined,
): GatewayCandidate[] {
  const localGateways = candidates.filter((candidate) => candidate.zone === zone);
  if (localGateways.length < MIN_ZONE_GATEWAYS) return drawByWeight(candidates, 1, MIN_SELECTED_GATEWAYS);
  const shortage = 1 - headroomFraction(localGateways) / SHORTAGE_THRESHOLD;
  const selected = drawByWeight(localGateways, 1, MIN_SELECTED_GATEWAYS);
  if (shortage <= 0) return selected;
  const remoteZones = zonesOf(candidates.filter((candidate) => candidate.zone !== zone));
  const remoteGateways = remoteZones
    .filter((others) => headroomFraction(others) >= SHORTAGE_THRESHOLD)
    .flat();
  const factor = (shortage * localGateways.length) / Math.max(1, remoteGateways.length);
  return [...selected, ...drawByWeight(remoteGateways, factor, 0)];
}

/**
 * Selects each gateway with the probability of its weight relative to the largest weight, times a factor, but at least
 * `minCount` gateways.
 */
function drawByWeight(
  candidates: readonly GatewayCandidate[],
  factor: number,
  minCount: number,
): GatewayCandidate[] {
  const defaultHeadroom = meanHeadroom(candidates);
  const weights = candidates.map((candidate) => weightOf(candidate, defaultHeadroom));
  const maxWeight = Math.max(0, ...weights);
  const margins = candidates.map((candidate, index) => {
    const relativeWeight = maxWeight === 0 ? 1 : (weights[index] ?? 0) / maxWeight;
    return { candidate, margin: relativeWeight * factor - candidate.draw };
  });
  const drawn = margins.filter(({ margin }) => margin > 0);
  if (drawn.length >= minCount) return drawn.map(({ candidate }) => candidate);
  margins.sort((left, right) => right.margin - left.margin);
  return margins.slice(0, minCount).map(({ candidate }) => candidate);
}

function weightOf({ headroom, knownForMs }: GatewayCandidate, defaultHeadroom: number): number {
  const slowStartFactor =
    SLOW_START_INITIAL_FACTOR + (1 - SLOW_START_INITIAL_FACTOR) * (knownForMs / SLOW_START_MS);
  return ((headroom ?? defaultHeadroom) / FULL_HEADROOM) * Math.min(1, slowStartFactor);
}

/**
 * The mean headroom of the better half of the gateways, as a fraction of the full headroom: the smallest machines of a zone
 * should not make it appear short.
 */
function headroomFraction(candidates: readonly GatewayCandidate[]): number {
  const defaultHeadroom = meanHeadroom(candidates);
  const headrooms = candidates.map(({ headroom }) => headroom ?? defaultHeadroom);
  headrooms.sort((left, right) => right - left);
  const upperHalf = headrooms.slice(0, Math.ceil(headrooms.length / 2));
  return mean(upperHalf) / FULL_HEADROOM;
}

/** The mean of the reported headrooms. It is also assumed for gateways whose builds do not report any. */
function meanHeadroom(candidates: readonly GatewayCandidate[]): number {
  const reported = candidates.flatMap(({ headroom }) => headroom ?? []);
  return reported.length === 0 ? FULL_HEADROOM : mean(reported);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function zonesOf(candidates: readonly GatewayCandidate[]): GatewayCandidate[][] {
  const zones = new Map<string, GatewayCandidate[]>();
  for (const candidate of candidates) {
    const known = zones.get(candidate.zone);
    if (known) known.push(candidate);
    else zones.set(candidate.zone, [candidate]);
  }
  return [...zones.values()];
}
