/** A caller's request to one of the sample routes. */
export interface SampleRequest {
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string;
}
