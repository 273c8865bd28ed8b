/** The addresses to which this gateway sends heartbeats and digests. */
export interface HeartbeatPlan {
  /** Whether heartbeats are distributed through relays. */
  readonly usesRelays: boolean;
  /** Whether this gateway is a relay. */
  readonly isRelay: boolean;
  readonly heartbeatsTo: readonly string[];
  /** Relays of other zones. They receive digests about this zone. */
  readonly zoneDigestsTo: readonly string[];
  /**
   * Gateways that send their heartbeats here, except relays that learn everything from other relays. They receive digests
   * about all zones.
   */
  readonly fullDigestsTo: readonly string[];
}
