/** A limit on admitted requests: `perSecond` for each second of any time span, plus `burst`. */
export interface RateLimit {
  readonly perSecond: number;
  readonly burst: number;
}
