/** How a request at a runner ended; one that is abandoned by its caller, or refused, says nothing of the runner. */
export type RequestOutcome = "success" | "failure" | "abandoned";
