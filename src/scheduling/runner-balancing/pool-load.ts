/** Slots of the runners of a pool, and requests in flight there. */
export interface PoolLoad {
  readonly slots: number;
  readonly load: number;
}
