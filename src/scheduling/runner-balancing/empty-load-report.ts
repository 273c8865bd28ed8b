import type { LoadReport } from "./load-report.ts";

/** Of a node that has no requests at runners. */
export const EMPTY_LOAD_REPORT: LoadReport = { inFlight: [], failing: [] };
