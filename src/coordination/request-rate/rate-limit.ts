/** How many requests may be admitted: in any time span, `perSecond` for each second and `burst` on top. */
export interface RateLimit {
  readonly perSecond: number;
  readonly burst: number;
}
