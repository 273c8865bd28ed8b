/** Places of the runners of a pool, and requests under way there. */
export interface PoolLoad {
  readonly slots: number;
  readonly load: number;
}
