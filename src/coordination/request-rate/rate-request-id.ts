/** Identifies a request that the client may repeat, because its answer may be lost or late. */
export interface RateRequestId {
  readonly client: string;
  /** Increases with each new request of the client. */
  readonly number: number;
}
