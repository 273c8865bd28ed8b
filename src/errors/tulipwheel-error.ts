import ModernError from "modern-errors";
import { ERROR_KINDS, type ErrorKindName } from "./error-kinds.ts";
import type { Problem, ProblemOutcome } from "./problem.ts";

/** What may be said of one case beyond its kind. */
export interface ProblemDetails {
  /** When to come back, in ms. */
  readonly retryAfterMs?: number;
  /** Overrides the outcome of the kind. */
  readonly outcome?: ProblemOutcome;
  /** Overrides the remedy of the kind. */
  readonly remedy?: string;
}

/** Builds a problem of a kind. */
export function problemOf(kind: ErrorKindName, detail: string, details: ProblemDetails = {}): Problem {
  const { title, status, outcome, retriable, remedy } = ERROR_KINDS[kind];
  return { kind, title, status, outcome, retriable, remedy, detail, ...details };
}

const PLACEHOLDER: Problem = problemOf("unavailable", "no problem was given");

/** The base of every error of this project. Carries the {@link Problem}; the message ends with the remedy. */
export const TulipwheelError = ModernError.subclass("TulipwheelError", {
  props: { problem: PLACEHOLDER },
});

/** An instance of {@link TulipwheelError}. */
export type TulipwheelErrorInstance = InstanceType<typeof TulipwheelError>;

/** Errors that a caller's request is answered with. */
export const RequestError = TulipwheelError.subclass("RequestError");

/** Errors in settings or templates, found before anything runs. */
export const ConfigurationError = TulipwheelError.subclass("ConfigurationError");

/** Errors of the platform's services and of back ends. */
export const PlatformError = TulipwheelError.subclass("PlatformError");

/** A request error from its parts. */
export function requestError(
  kind: ErrorKindName,
  detail: string,
  details: ProblemDetails = {},
): TulipwheelErrorInstance {
  return errorOfProblem(problemOf(kind, detail, details));
}

/** A request error around a problem that came from elsewhere. */
export function errorOfProblem(problem: Problem): TulipwheelErrorInstance {
  return new RequestError(`${problem.detail} ${problem.remedy}`, { props: { problem } });
}

/** A configuration error from its parts. */
export function configurationError(kind: ErrorKindName, detail: string): TulipwheelErrorInstance {
  const problem = problemOf(kind, detail);
  return new ConfigurationError(`${detail} ${problem.remedy}`, { props: { problem } });
}

/** A platform error from its parts. */
export function platformError(detail: string, cause?: unknown): TulipwheelErrorInstance {
  const problem = problemOf("platform-unavailable", detail);
  return new PlatformError(`${detail} ${problem.remedy}`, { props: { problem }, cause });
}

/** The problem that an error stands for; an error that is not ours counts as `unavailable`. */
export function problemOfError(error: unknown): Problem {
  if (error instanceof TulipwheelError) return (error as TulipwheelErrorInstance).problem;
  const detail = error instanceof Error ? error.message : String(error);
  return problemOf("unavailable", `Unexpected failure: ${detail}.`, { outcome: "unknown" });
}
