/** A node that is eligible to relay heartbeats for its zone. */
export interface RelayCandidate {
  readonly address: string;
  readonly zone: string;
  /** Hash of the node's name, the same on every node. */
  readonly hash: number;
}

/**
 * Selects the nodes that relay heartbeats, up to `relaysPerZone` per zone. All nodes that know the same live nodes
 * select the same relays, and the loss of a relay adds only one other. Pure.
 *
 * @returns addresses of the relays by zone, in order of preference
 */
export function selectRelays(
  candidates: readonly RelayCandidate[],
  relaysPerZone: number,
): Map<string, string[]> {
  const byZone = new Map<string, RelayCandidate[]>();
  for (const candidate of candidates) {
    const zone = byZone.get(candidate.zone);
    if (zone) zone.push(candidate);
    else byZone.set(candidate.zone, [candidate]);
  }
  const relays = new Map<string, string[]>();
  for (const [zone, members] of byZone) {
    members.sort((left, right) => left.hash - right.hash || (left.address < right.address ? -1 : 1));
    relays.set(
      zone,
      members.slice(0, relaysPerZone).map(({ address }) => address),
    );
  }
  return relays;
}
