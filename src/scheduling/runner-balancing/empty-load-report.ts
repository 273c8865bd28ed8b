import type { LoadReport } from "./load-report.ts";

/** The report of a gateway that has no requests at runners. */
export const EMPTY_LOAD_REPORT: LoadReport = { inFlight: [], failing: [] };
