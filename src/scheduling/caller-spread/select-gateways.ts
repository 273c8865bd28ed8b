/**
 * Which gateways a caller is told of. Callers pick at random among those, so a gateway that can take less than the others
 * of its zone is left out of some answers. Where a zone can't take its callers, gateways of other zones that can are named
 * as well, the more the shorter it is. Pure.
 */
import type { GatewayCandidate } from "./gateway-candidate.ts";
import { FULL_HEADROOM } from "./headroom.ts";

/** With fewer gateways in a caller's zone than this, it is told of all: one may be lost before the next answer. */
const MIN_ZONE_GATEWAYS = 2;
/** Fewest gateways of an answer where there are so many: some may be lost before the next one, and callers keep it a while. */
const MIN_SELECTED_GATEWAYS = 4;
/** A zone whose better half has less than this part of its full headroom is short: it sends callers on before it is full. */
const SHORTAGE_THRESHOLD = 0.6;
/** A gateway that was just heard of is named the more, the longer it is known, up to this time, in ms. */
const SLOW_START_MS = 3_000;
/** Part of a gateway's share that it has at first. */
const SLOW_START_INITIAL_FACTOR = 0.25;

/** See the module's comment. Empty only where there are no candidates. */
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

/** Each gateway with a probability of its part against the largest one, times a factor; at least so many all the same. */
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

/** Of the better half: a zone is not short because of its smallest machines. */
function headroomFraction(candidates: readonly GatewayCandidate[]): number {
  const defaultHeadroom = meanHeadroom(candidates);
  const headrooms = candidates.map(({ headroom }) => headroom ?? defaultHeadroom);
  headrooms.sort((left, right) => right - left);
  const upperHalf = headrooms.slice(0, Math.ceil(headrooms.length / 2));
  return mean(upperHalf) / FULL_HEADROOM;
}

/** Of those that tell one; builds that tell none are taken for alike. */
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
