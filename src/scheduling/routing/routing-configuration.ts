/** What operators say of routes and pools of runners; one version holds everywhere at a time. */
import type { Tenant } from "./tenant.ts";

/** How often a request of a route may run. */
export type RouteKind = "safe" | "unsafe" | "streaming";

/** One of the pools that a route's requests are spread over. */
export interface PoolShare {
  readonly pool: string;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** Where requests under one host and path go, and within which limits. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request may be held, in ms. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event, within which it has its full worth, in ms. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly PoolShare[];
  /** Most runners that one try of a caller may run on. */
  readonly maxAttempts: number;
  /** Whether a broken stream may go on at another runner after its last event. */
  readonly resumable: boolean;
  /** Whether turns bring only their new input, and the system keeps what was said. */
  readonly retainsTurns: boolean;
  /** How long a retained turn and a program's count of tokens are kept after their last use, in ms. */
  readonly retentionMs: number;
  /** Whether anybody may use it, without a key. */
  readonly isPublic: boolean;
}

/** Figures of the engines of a pool. */
export interface EngineFigures {
  /** Requests that run at once. */
  readonly slots: number;
  /** Tokens that fit into the memory for prompts. */
  readonly cacheTokens: number;
  readonly tokensPerEvent: number;
}

/** Runners that are alike. */
export interface RunnerPool {
  readonly name: string;
  /** Connections that one runner takes from all nodes together. */
  readonly maxConnections: number;
  /** Set when the runners are model engines. */
  readonly engine: EngineFigures | undefined;
}

/** Bounds of what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Longest time for a request's head, in ms. */
  readonly headerTimeoutMs: number;
  /** How long a caller's connection may rest, in ms. */
  readonly idleTimeoutMs: number;
}

/** Everything that operators say, under one version. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: readonly RunnerPool[];
  readonly limits: CallerLimits;
  /** Undefined where callers need no key. */
  readonly tenants: readonly Tenant[] | undefined;
}
