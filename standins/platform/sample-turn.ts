import type { SampleRequest } from "./sample-request.ts";
import { SAMPLE_ROUTES } from "./sample-routes.ts";

/** Input size and maximum number of generated tokens of a turn in large production deployments. */
const BODY_BYTES = 17_000;
const MAX_GENERATED_TOKENS = 590;
const TOKEN_BUDGET = 100_000;
/** Number of turns of one program. */
const TURNS_PER_PROGRAM = 6;

/** A program's turn with the typical size of turns in large production deployments. */
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
