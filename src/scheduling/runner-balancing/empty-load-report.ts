import type { NodeReport } from "./load-report.ts";

/** Of a node that has no requests at runners. */
export const EMPTY_REPORT: NodeReport = { inFlight: [], failing: [] };
