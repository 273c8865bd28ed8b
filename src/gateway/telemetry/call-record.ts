/** Collects the decisions about one call, their reasons and their results for the call's log line. */
import type { RequestFingerprint } from "../../scheduling/ids/request-fingerprint.ts";
import type { AdmissionRecord } from "./admission-record.ts";
import type { AttemptRecord } from "./attempt-record.ts";
import type { CallEnd } from "./call-end.ts";
import { loggedIdentifier } from "./logged-identifier.ts";
import type { RateRecord } from "./rate-record.ts";
import type { ResumedStreamRecord } from "./resumed-stream-record.ts";
import type { RetentionRecord } from "./retention-record.ts";
import type { TimedPlaceRecord } from "./timed-place-record.ts";

export class CallRecord {
  readonly request: string;
  readonly program: string | undefined;
  readonly route: string;
  /** Version of the configuration that contains the route. */
  readonly configuration: number;
  /** The tenant that made the call; undefined if it needs no key. */
  tenant: string | undefined;
  /** Undefined if the tenant has no limit. */
  rate: RateRecord | undefined;
  /** Result of each request for a place. */
  readonly places: TimedPlaceRecord[] = [];
  readonly tries: AttemptRecord[] = [];
  admission: AdmissionRecord | undefined;
  retention: RetentionRecord | undefined;
  /** Undefined unless the caller takes up a stream that broke. */
  resumed: ResumedStreamRecord | undefined;
  /** The content of the request, the same in each of its tries; set once a runner has broken off its answer. */
  fingerprint: RequestFingerprint | undefined;
  /** Time from the arrival of the call until its first byte was forwarded, in ms. */
  firstByteMs: number | undefined;

  constructor(request: string, program: string | undefined, route: string, configuration: number) {
    this.request = loggedIdentifier(request);
    this.program = program === undefined ? undefined : loggedIdentifier(program);
    this.route = route;
    this.configuration = configuration;
  }

  /** The fields of the call's log line. */
  toLogFields(end: CallEnd, elapsedMs: number): object {
    const { request, program, route, configuration, tenant, rate, admission, places, retention, tries } =
      this;
    const { firstByteMs, resumed, fingerprint } = this;
    return {
      request,
      program,
      route,
      configuration,
      tenant,
      fingerprint,
      ...end,
      elapsedMs,
      firstByteMs,
      rate,
      resumed,
      admission,
      places: places.length === 0 ? undefined : places,
      retention,
      tries,
    };
  }
}
