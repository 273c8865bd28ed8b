/** The operators' configuration of routes and runner pools. One version is in force everywhere at a time. */
import type { Tenant } from "./tenant.ts";

/**
 * Whether a request of a route may run more than once: a safe request may, an unsafe one may not. A streaming request is
 * answered by a stream of events, and whether it may continue at another runner is set by the route.
 */
export type RouteKind = "safe" | "unsafe" | "streaming";

/** One of the pools over which the requests of a route are distributed. */
export interface PoolShare {
  readonly pool: string;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** Destination and limits of the requests for one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Maximum time that a request may take, in ms. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event, within which the answer has its full value, in ms. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly PoolShare[];
  /** Maximum number of runners on which one attempt of a caller may run. */
  readonly maxAttempts: number;
  /** Whether an interrupted stream may continue at another runner after its last event. */
  readonly resumable: boolean;
  /** Whether turns contain only their new input, and the system stores the history. */
  readonly retainsTurns: boolean;
  /** How long retained turns and a program's token count are kept after their last use, in ms. */
  readonly retentionMs: number;
  /** Whether callers need no API key. */
  readonly isPublic: boolean;
}

/** Capacity of the engines of a pool. */
export interface EngineFigures {
  /** Number of requests that run concurrently. */
  readonly slots: number;
  /** Number of tokens that fit into the prompt cache. */
  readonly cacheTokens: number;
  readonly tokensPerEvent: number;
}

/** A pool of runners that are alike. */
export interface RunnerPool {
  readonly name: string;
  /** Maximum number of connections that one runner accepts from all gateways together. */
  readonly maxConnections: number;
  /** Set if the runners are model engines. */
  readonly engine: EngineFigures | undefined;
}

/** Limits on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Maximum time to receive the headers of a request, in ms. */
  readonly headerTimeoutMs: number;
  /** Maximum time that a caller's connection may be idle, in ms. */
  readonly idleTimeoutMs: number;
}

/** The complete configuration of the operators, under one version. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: readonly RunnerPool[];
  readonly limits: CallerLimits;
  /** Undefined if callers need no API key. */
  readonly tenants: readonly Tenant[] | undefined;
}
