import type { SampleRequest } from "./sample-request.ts";
import { SAMPLE_ROUTES } from "./sample-routes.ts";

/** Bytes of a turn's input, and generated tokens at most, as on the users' large deployments. */
const BODY_BYTES = 17_000;
const MAX_GENERATED_TOKENS = 590;
const TOKEN_BUDGET = 100_000;
/** Turns of one program. */
const TURNS_PER_PROGRAM = 6;

/** A turn of a program, with the size that turns have on the users' large deployments. */
export function sampleTurn(index: number): SampleRequest {
  const program = `program-${Math.floor(index / TURNS_PER_PROGRAM)}`;
  const headers = {
    host: SAMPLE_ROUTES.host,
    "X-Request-Id": `turn-${index}`,
    "X-Deadline-Ms": "3000",
    "X-Program-Id": program,
    "X-Session-Id": `${program}-main`,
    "X-Program-Deadline-Ms": "8000",
    "X-Token-Budget": String(TOKEN_BUDGET),
    "X-Token-Usage": `14280,${MAX_GENERATED_TOKENS}`,
    "X-Prompt-Prefix": "5c1e07a2:12600,91bd3f06:1680",
    "X-Model": "m",
  };
  return { path: SAMPLE_ROUTES.turnPath, headers, body: "x".repeat(BODY_BYTES) };
}
