/**
 * Decides where a gateway sends heartbeats and digests. In a small cluster each gateway sends heartbeats to all others. In a
 * large one each zone has a few relays. A gateway sends its heartbeats to the relays of its zone. Relays send heartbeats and
 * digests to each other and to the gateways of their zone. The number of messages then grows linearly with the number of
 * gateways, not quadratically.
 */
import { type RelayCandidate, selectRelays } from "../../coordination/relay-selection/index.ts";
import type { HeartbeatPlanInput } from "./heartbeat-plan-input.ts";
import type { HeartbeatPlan } from "./heartbeat-targets.ts";

/** Relays per zone. If one fails, the other continues. */
const RELAYS_PER_ZONE = 2;

/** Computes the receivers of this gateway's heartbeats and digests. Pure. */
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
  // A relay gets digests from the other relays. But a relay of another zone that sends heartbeats to a gateway that is no
  // relay has just started and does not know the other relays yet, so it gets a full digest here.
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
