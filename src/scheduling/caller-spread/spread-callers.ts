/**
 * Which gateways a caller is told of. Callers pick at random among those, so a gateway that can take less than the others
 * of its zone is left out of some answers. Where a zone can't take its callers, gateways of other zones that can are named
 * as well, the more the shorter it is. Pure.
 */
import type { GatewayCandidate } from "./gateway-candidate.ts";
import { FULL_HEADROOM } from "./headroom.ts";

/** With fewer gateways in a caller's zone than this, it is told of all: one may be lost before the next answer. */
const MIN_IN_ZONE = 2;
/** Fewest gateways of an answer where there are so many: some may be lost before the next one, and callers keep it a while. */
const MIN_NAMED = 4;
/** A zone whose better half has less than this part of its full headroom is short: it sends callers on before it is full. */
const SHORT_PART = 0.6;
/** A gateway that was just heard of is named the more, the longer it is known, up to this time, in ms. */
const NEWCOMER_MS = 3_000;
/** Part of a gateway's share that it has at first. */
const NEWCOMER_PART = 0.25;

/** See the module's comment. Empty only where there are no candidates. */
export function spreadCallers(
  candidates: readonly GatewayCandidate[],
  zone: string | undefined,
): GatewayCandidate[] {
  const near = candidates.filter((candidate) => candidate.zone === zone);
  if (near.length < MIN_IN_ZONE) return inProportion(candidates, 1, MIN_NAMED);
  const shortage = 1 - headroomPart(near) / SHORT_PART;
  const named = inProportion(near, 1, MIN_NAMED);
  if (shortage <= 0) return named;
  const far = zonesOf(candidates.filter((candidate) => candidate.zone !== zone));
  const guests = far.filter((others) => headroomPart(others) >= SHORT_PART).flat();
  const factor = (shortage * near.length) / Math.max(1, guests.length);
  return [...named, ...inProportion(guests, factor, 0)];
}

/** Each gateway with a probability of its part against the largest one, times a factor; at least so many all the same. */
function inProportion(
  candidates: readonly GatewayCandidate[],
  factor: number,
  least: number,
): GatewayCandidate[] {
  const usual = meanHeadroom(candidates);
  const parts = candidates.map((candidate) => partOf(candidate, usual));
  const most = Math.max(0, ...parts);
  const margins = candidates.map((candidate, index) => {
    const part = most === 0 ? 1 : (parts[index] ?? 0) / most;
    return { candidate, margin: part * factor - candidate.draw };
  });
  const wanted = margins.filter(({ margin }) => margin > 0);
  if (wanted.length >= least) return wanted.map(({ candidate }) => candidate);
  margins.sort((left, right) => right.margin - left.margin);
  return margins.slice(0, least).map(({ candidate }) => candidate);
}

function partOf({ headroom, knownForMs }: GatewayCandidate, usual: number): number {
  const newcomer = NEWCOMER_PART + (1 - NEWCOMER_PART) * (knownForMs / NEWCOMER_MS);
  return ((headroom ?? usual) / FULL_HEADROOM) * Math.min(1, newcomer);
}

/** Of the better half: a zone is not short because of its smallest machines. */
function headroomPart(candidates: readonly GatewayCandidate[]): number {
  const usual = meanHeadroom(candidates);
  const headrooms = candidates.map(({ headroom }) => headroom ?? usual);
  headrooms.sort((left, right) => right - left);
  const better = headrooms.slice(0, Math.ceil(headrooms.length / 2));
  return mean(better) / FULL_HEADROOM;
}

/** Of those that tell one; builds that tell none are taken for alike. */
function meanHeadroom(candidates: readonly GatewayCandidate[]): number {
  const told = candidates.flatMap(({ headroom }) => headroom ?? []);
  return told.length === 0 ? FULL_HEADROOM : mean(told);
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
