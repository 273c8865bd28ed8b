/** How a call ended, from the caller's side. */
export interface CallEnd {
  /** 0 when the connection ended without an answer of its own. */
  readonly status: number;
  readonly kind: string;
  readonly detail?: string;
}
