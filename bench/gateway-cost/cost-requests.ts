/** Requests of callers as on the users' large deployments. */
import { COST_HOST, COST_PATHS } from "./cost-configuration.ts";

/** One request. */
export interface CostRequest {
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** Bytes of a turn's input, and generated tokens at most. */
const TURN_BYTES = 17_000;
const CALL_BYTES = 600;
const BUDGET = 100_000;
const MOST = 590;
/** Turns of one program. */
const TURNS = 6;

/** A turn of a program. */
export function turnRequest(index: number): CostRequest {
  const program = `program-${Math.floor(index / TURNS)}`;
  const headers = {
    host: COST_HOST,
    "X-Request-Id": `turn-${index}`,
    "X-Deadline-Ms": "3000",
    "X-Program-Id": program,
    "X-Session-Id": `${program}-main`,
    "X-Program-Deadline-Ms": "8000",
    "X-Token-Budget": String(BUDGET),
    "X-Token-Usage": `14280,${MOST}`,
    "X-Prompt-Prefix": "5c1e07a2:12600,91bd3f06:1680",
    "X-Model": "m",
  };
  return { path: COST_PATHS.turn, headers, body: "x".repeat(TURN_BYTES) };
}

/** A plain call. */
export function callRequest(index: number): CostRequest {
  const headers = { host: COST_HOST, "X-Request-Id": `call-${index}`, "X-Deadline-Ms": "2000" };
  return { path: COST_PATHS.call, headers, body: "x".repeat(CALL_BYTES) };
}

/** Resolves after a while. */
export function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
