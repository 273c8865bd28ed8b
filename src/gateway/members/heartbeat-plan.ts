/**
 * To whom a gateway sends heartbeats and digests. Few gateways send heartbeats to all others. Many choose relays, some
 * per zone: a gateway sends its heartbeats to the relays of its zone; relays send theirs, with a digest, to each other
 * and to the gateways of their zone. Messages grow with the gateways, not with their square.
 */
import { type RelayCandidate, selectRelays } from "../../coordination/relay-selection/index.ts";
import type { HeartbeatPlanInput } from "./heartbeat-plan-input.ts";
import type { HeartbeatPlan } from "./heartbeat-targets.ts";

/** Relays per zone: while one is lost, another one goes on. */
const RELAYS_PER_ZONE = 2;

/** See the module's comment. Pure. */
export function planHeartbeats({ self, others, isHeard, directMost }: HeartbeatPlanInput): HeartbeatPlan {
  if (others.length + 1 <= directMost) {
    const heartbeatsTo = others.map(({ address }) => address);
    return { usesRelays: false, isRelay: false, heartbeatsTo, zoneDigestsTo: [], fullDigestsTo: [] };
  }
  const relays = selectRelays([self, ...others], RELAYS_PER_ZONE);
  const zoneRelays = new Set(relays.get(self.zone) ?? []);
  const isRelay = zoneRelays.delete(self.address);
  const zonePeers = others.filter(({ zone, address }) => zone === self.zone && !zoneRelays.has(address));
  const allRelays = new Set([...relays.values()].flat());
  // A relay of another zone that speaks to one that is none has just started, and does not know the other relays yet.
  const needsNoFullDigest = ({ address, zone }: RelayCandidate) =>
    allRelays.has(address) && (isRelay || zone === self.zone);
  const fullDigestsTo = others
    .filter((other) => isHeard(other.address) && !needsNoFullDigest(other))
    .map(({ address }) => address);
  if (!isRelay) {
    return { usesRelays: true, isRelay, heartbeatsTo: [...zoneRelays], zoneDigestsTo: [], fullDigestsTo };
  }
  const zoneDigestsTo = [...relays].flatMap(([zone, addresses]) => (zone === self.zone ? [] : addresses));
  const heartbeatsTo = [...zoneRelays, ...zonePeers.map(({ address }) => address), ...zoneDigestsTo];
  return { usesRelays: true, isRelay, heartbeatsTo, zoneDigestsTo, fullDigestsTo };
}
