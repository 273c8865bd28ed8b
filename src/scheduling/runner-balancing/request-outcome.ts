/**
 * How a request at a runner ended. A request is abandoned if its caller gave it up or the runner refused it; it then counts
 * neither for nor against the runner, unless it was overdue.
 */
export type RequestOutcome = "success" | "failure" | "abandoned";
