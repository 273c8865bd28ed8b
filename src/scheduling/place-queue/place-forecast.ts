/** The forecast on which a refusal is based. */
export interface PlaceForecast {
  /** Expected wait of the call, in ms. */
  readonly expectedMs: number;
  /** How long calls of its route hold their places, in ms. */
  readonly holdingMs: number;
}
