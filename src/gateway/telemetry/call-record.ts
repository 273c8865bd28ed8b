/** What was decided about one call, on which grounds, and what came of it: the content of its line in the log. */

/** One try at a runner. */
export interface TryRecord {
  readonly runner: string;
  /** Requests in flight at the runner when it was chosen, as far as known. */
  readonly load: number;
  /** Part of the requests of the last seconds that failed there, 0 to 1. */
  readonly failureRate: number;
  /** Since the call arrived, in ms. */
  readonly atMs: number;
  /** How long the try took, in ms; undefined while it goes on. */
  elapsedMs?: number;
  /** Why it gave no answer. */
  failure?: string;
}

/** What the owner of the program's partition said, or why it could not be asked. */
export interface AdmissionRecord {
  readonly partition: number;
  readonly owner: string | undefined;
  readonly answer: string;
  /** Tokens that count as spent, where they exhaust the budget. */
  readonly spentTokens?: number;
  /** How long the answer took, in ms. */
  readonly elapsedMs: number;
}

/** How a call ended, from the caller's side. */
export interface CallEnd {
  /** 0 when the connection ended without an answer of its own. */
  readonly status: number;
  readonly kind: string;
  readonly detail?: string;
}

/** See the module's comment. */
export class CallRecord {
  readonly request: string;
  readonly program: string | undefined;
  readonly route: string;
  /** Version of the configuration that the route is from. */
  readonly configuration: number;
  readonly tries: TryRecord[] = [];
  admission: AdmissionRecord | undefined;
  /** Since the call arrived until its first byte was handed on, in ms. */
  firstByteMs: number | undefined;

  constructor(request: string, program: string | undefined, route: string, configuration: number) {
    this.request = request;
    this.program = program;
    this.route = route;
    this.configuration = configuration;
  }

  /** The fields of its line. */
  line(end: CallEnd, elapsedMs: number): object {
    const { request, program, route, configuration, admission, tries, firstByteMs } = this;
    return { request, program, route, configuration, ...end, elapsedMs, firstByteMs, admission, tries };
  }
}
