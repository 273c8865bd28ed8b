import type { SampleRequest } from "./sample-request.ts";
import { SAMPLE_ROUTES } from "./sample-routes.ts";

const BODY_BYTES = 600;

/** A plain call with the typical size of tool calls in large production deployments. */
export function sampleCall(index: number): SampleRequest {
  const headers = { host: SAMPLE_ROUTES.host, "X-Request-Id": `call-${index}`, "X-Deadline-Ms": "2000" };
  return { path: SAMPLE_ROUTES.callPath, headers, body: "x".repeat(BODY_BYTES) };
}
