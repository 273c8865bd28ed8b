import type { ProblemOutcome } from "./problem.ts";

/** The properties that all errors of one kind share. */
export interface ErrorKind {
  readonly title: string;
  readonly status: number;
  readonly outcome: ProblemOutcome;
  readonly retriable: boolean;
  readonly remedy: string;
}

/** Every kind of problem that a caller or an operator can receive. docs/ERRORS.md is generated from this table. */
export const ERROR_KINDS = {
  "invalid-request": {
    title: "The request is malformed",
    status: 400,
    outcome: "not-run",
    retriable: false,
    remedy: "Correct the field that the detail names and send the request again.",
  },
  "body-too-large": {
    title: "The request body is too large",
    status: 413,
    outcome: "not-run",
    retriable: false,
    remedy:
      "Send only the new messages of the turn, or raise `ingress.limits.bodyBytes` in the node's settings.",
  },
  "headers-too-large": {
    title: "The request head is too large",
    status: 431,
    outcome: "not-run",
    retriable: false,
    remedy: "Send fewer or shorter headers, or raise `ingress.limits.headerBytes` in the node's settings.",
  },
  "request-timeout": {
    title: "The request arrived too slowly",
    status: 408,
    outcome: "not-run",
    retriable: true,
    remedy: "Send the whole request within the node's `ingress.limits.requestMs`.",
  },
  "not-found": {
    title: "There is nothing under this name",
    status: 404,
    outcome: "not-run",
    retriable: false,
    remedy: "Check the identifier; programs are forgotten some time after they end.",
  },
  "unknown-template": {
    title: "The tenant has no such template",
    status: 422,
    outcome: "not-run",
    retriable: false,
    remedy: "Use a template that `tulipwheel template list` shows, or have the operator apply it.",
  },
  "unknown-model": {
    title: "The template does not allow this model",
    status: 422,
    outcome: "not-run",
    retriable: false,
    remedy: "Name a model that the template lists under `models`, or have the operator add it.",
  },
  "unknown-service": {
    title: "The template does not allow this service",
    status: 422,
    outcome: "not-run",
    retriable: false,
    remedy: "Name a service that the template lists under `services`, or have the operator add it.",
  },
  "foreign-program": {
    title: "The program belongs to another tenant",
    status: 403,
    outcome: "not-run",
    retriable: false,
    remedy: "Send the tenant that opened the program in the `Tulipwheel-Tenant` header.",
  },
  "program-ended": {
    title: "The program has ended",
    status: 409,
    outcome: "not-run",
    retriable: false,
    remedy: "Open a new program, or a child of it before it ends.",
  },
  "call-conflict": {
    title: "The call number is taken by another request",
    status: 409,
    outcome: "not-run",
    retriable: false,
    remedy: "Use the next free call number, or leave `Tulipwheel-Call` out.",
  },
  "call-out-of-order": {
    title: "An earlier call of the program never arrived",
    status: 409,
    outcome: "not-run",
    retriable: true,
    remedy: "Send the calls in order, from the number that the detail names.",
  },
  "limit-reached": {
    title: "The program has reached a limit of its template",
    status: 429,
    outcome: "not-run",
    retriable: false,
    remedy: "End the program, or have the operator raise the limit that the detail names.",
  },
  "budget-exhausted": {
    title: "The tenant's budget does not cover the call",
    status: 429,
    outcome: "not-run",
    retriable: true,
    remedy:
      "Come back when the budget's window turns, ask for fewer tokens, or have the operator raise `budget.tokens`.",
  },
  overloaded: {
    title: "There is no capacity in time",
    status: 503,
    outcome: "not-run",
    retriable: true,
    remedy: "Come back after the time in `Retry-After`.",
  },
  "no-runner": {
    title: "No runner serves this model now",
    status: 503,
    outcome: "not-run",
    retriable: true,
    remedy:
      "Come back after the time in `Retry-After`; operators see the runners in `tulipwheel runner list`.",
  },
  unavailable: {
    title: "The scheduler cannot take the request now",
    status: 503,
    outcome: "not-run",
    retriable: true,
    remedy: "Come back after the time in `Retry-After`; operators see the nodes in `tulipwheel status`.",
  },
  "back-end-failed": {
    title: "The back end failed",
    status: 502,
    outcome: "failed",
    retriable: true,
    remedy: "Send the turn again as a new call; it may be repeated safely if the template says so.",
  },
  "answer-interrupted": {
    title: "The answer could not be continued",
    status: 502,
    outcome: "unknown",
    retriable: false,
    remedy:
      "Discard the partial answer. Send the request again with its idempotency key, or read the program's history, for the committed one.",
  },
  "outcome-unknown": {
    title: "Whether the request ran is not known",
    status: 504,
    outcome: "unknown",
    retriable: false,
    remedy: "Do not repeat it. Ask `GET /v1/decisions/{call}`, or the service by the idempotency key.",
  },
  "configuration-conflict": {
    title: "Another change was accepted first",
    status: 409,
    outcome: "not-run",
    retriable: true,
    remedy: "Read the newest version, merge, and apply again with its number as the base.",
  },
  "shard-alive": {
    title: "The shard has replicas that answer",
    status: 409,
    outcome: "not-run",
    retriable: false,
    remedy: "Let the replicas elect a leader; recover only what is lost for good.",
  },
  "invalid-template": {
    title: "The template is not valid",
    status: 422,
    outcome: "not-run",
    retriable: false,
    remedy: "Correct the lines that the detail names; docs/TEMPLATES.md describes every key.",
  },
  "invalid-settings": {
    title: "The settings are not valid",
    status: 422,
    outcome: "not-run",
    retriable: false,
    remedy:
      "Correct the lines that the detail names; `tulipwheel settings show` prints every key with its default.",
  },
  "platform-unavailable": {
    title: "The platform's service does not answer",
    status: 503,
    outcome: "unknown",
    retriable: true,
    remedy: "Ask again; a change is applied at most once under one change identifier.",
  },
} as const satisfies Record<string, ErrorKind>;

/** Name of a kind of problem. */
export type ErrorKindName = keyof typeof ERROR_KINDS;
