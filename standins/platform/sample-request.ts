/** One request of a caller. */
export interface SampleRequest {
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string;
}
