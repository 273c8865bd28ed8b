/** How a call ended, as seen by the caller. */
export interface CallEnd {
  /** HTTP status; 0 if the connection ended without an answer. */
  readonly status: number;
  readonly kind: string;
  readonly detail?: string;
}
