/** What was decided about one call, on which grounds, and what came of it: the content of its line in the log. */
import type { AdmissionRecord } from "./admission-record.ts";
import type { AttemptRecord } from "./attempt-record.ts";
import type { CallEnd } from "./call-end.ts";
import type { RateRecord } from "./rate-record.ts";
import type { RetentionRecord } from "./retention-record.ts";
import type { TimedPlaceRecord } from "./timed-place-record.ts";

/** See the module's comment. */
export class CallRecord {
  readonly request: string;
  readonly program: string | undefined;
  readonly route: string;
  /** Version of the configuration that the route is from. */
  readonly configuration: number;
  /** For whom the call was made; undefined where it needs no key. */
  tenant: string | undefined;
  /** Undefined where the tenant has no limit. */
  rate: RateRecord | undefined;
  /** What came of each question for a place. */
  readonly places: TimedPlaceRecord[] = [];
  readonly tries: AttemptRecord[] = [];
  admission: AdmissionRecord | undefined;
  retention: RetentionRecord | undefined;
  /** Since the call arrived until its first byte was handed on, in ms. */
  firstByteMs: number | undefined;

  constructor(request: string, program: string | undefined, route: string, configuration: number) {
    this.request = request;
    this.program = program;
    this.route = route;
    this.configuration = configuration;
  }

  /** The fields of its line. */
  toLogFields(end: CallEnd, elapsedMs: number): object {
    const { request, program, route, configuration, tenant, rate, admission, places, retention, tries } =
      this;
    const { firstByteMs } = this;
    return {
      request,
      program,
      route,
      configuration,
      tenant,
      ...end,
      elapsedMs,
      firstByteMs,
      rate,
      admission,
      places: places.length === 0 ? undefined : places,
      retention,
      tries,
    };
  }
}
