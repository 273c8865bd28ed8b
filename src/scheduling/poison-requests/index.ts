/** Limits the runners that end under one request, without holding back the requests beside it. */
export type { SuspectOutcome, SuspectRun } from "./suspect-run.ts";
export { type KnownSuspect, MAX_LOST_RUNNERS, SuspectTable } from "./suspect-table.ts";
export { type SuspectVerdict, strictestOf } from "./suspect-verdict.ts";
