/** Where heartbeats and digests go; addresses. */
export interface HeartbeatPlan {
  /** Whether heartbeats travel by relays. */
  readonly usesRelays: boolean;
  /** Whether this gateway is a relay. */
  readonly isRelay: boolean;
  readonly heartbeatsTo: readonly string[];
  /** Relays of other zones: they are told of this zone. */
  readonly zoneDigestsTo: readonly string[];
  /** Gateways other than relays that send their heartbeats here: they are told of all. */
  readonly fullDigestsTo: readonly string[];
}
