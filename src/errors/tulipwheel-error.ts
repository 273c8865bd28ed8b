import ModernError from "modern-errors";
import { ERROR_KINDS, type ErrorKindName } from "./error-kinds.ts";
import type { Problem, ProblemOutcome } from "./problem.ts";

/** Optional properties of a single problem that its kind does not determine. */
export interface ProblemDetails {
  /** Time after which to retry, in ms. */
  readonly retryAfterMs?: number;
  /** Overrides the outcome of the kind. */
  readonly outcome?: ProblemOutcome;
  /** Overrides the remedy of the kind. */
  readonly remedy?: string;
}

/** Creates a problem of a kind. */
export function problemOf(kind: ErrorKindName, detail: string, details: ProblemDetails = {}): Problem {
  const { title, status, outcome, retriable, remedy } = ERROR_KINDS[kind];
  return { kind, title, status, outcome, retriable, remedy, detail, ...details };
}

const PLACEHOLDER: Problem = problemOf("unavailable", "no problem was given");

/** Base class of every error of this project. Carries the {@link Problem}; the message ends with the remedy. */
export const TulipwheelError = ModernError.subclass("TulipwheelError", {
  props: { problem: PLACEHOLDER },
});

/** An instance of {@link TulipwheelError}. */
export type TulipwheelErrorInstance = InstanceType<typeof TulipwheelError>;

/** Errors that are returned as the response to a caller's request. */
export const RequestError = TulipwheelError.subclass("RequestError");

/** Errors in settings or templates, detected before anything runs. */
export const ConfigurationError = TulipwheelError.subclass("ConfigurationError");

/** Errors of the platform's services and of back ends. */
export const PlatformError = TulipwheelError.subclass("PlatformError");

/** Creates a request error of a kind. */
export function requestError(
  kind: ErrorKindName,
  detail: string,
  details: ProblemDetails = {},
): TulipwheelErrorInstance {
  return errorOfProblem(problemOf(kind, detail, details));
}

/** Creates a request error from an existing problem, for example one received from another process. */
export function errorOfProblem(problem: Problem): TulipwheelErrorInstance {
  return new RequestError(`${problem.detail} ${problem.remedy}`, { props: { problem } });
}

/** Creates a configuration error of a kind. */
export function configurationError(kind: ErrorKindName, detail: string): TulipwheelErrorInstance {
  const problem = problemOf(kind, detail);
  return new ConfigurationError(`${detail} ${problem.remedy}`, { props: { problem } });
}

/** Creates a platform error of the kind `platform-unavailable`. */
export function platformError(detail: string, cause?: unknown): TulipwheelErrorInstance {
  const problem = problemOf("platform-unavailable", detail);
  return new PlatformError(`${detail} ${problem.remedy}`, { props: { problem }, cause });
}

/** Returns the problem of an error; an error of any other class becomes `unavailable` with outcome `unknown`. */
export function problemOfError(error: unknown): Problem {
  if (error instanceof TulipwheelError) return (error as TulipwheelErrorInstance).problem;
  const detail = error instanceof Error ? error.message : String(error);
  return problemOf("unavailable", `Unexpected failure: ${detail}.`, { outcome: "unknown" });
}
