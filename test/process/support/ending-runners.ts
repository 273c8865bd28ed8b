/** A cluster whose runners end, with requests that end them and requests that don't, and what both have done. */
import { request as httpRequest } from "undici";
import {
  ENDS_RUNNER_HEADER,
  type ExecutedRequest,
  type RunnerEnd,
  RunnerStandin,
} from "../../../standins/platform/runner-standin.ts";
import { newRequestId } from "./gateway-caller.ts";
import { GatewayCluster, pause, TEST_HOST, type TestGateway } from "./gateway-cluster.ts";
import { TestAddresses } from "./test-addresses.ts";

/** What happens to the entry and the address of a runner that has ended. */
export type AfterEnd = "entryLeaves" | "entryStays" | "restarts";

/** A request that callers send again with the same content and another identifier. */
export interface RepeatedRequest {
  readonly path: string;
  readonly body: string;
  /** Where it ends its runners; undefined if it does not. */
  readonly endsAt: RunnerEnd | undefined;
}

/** One try of a request, as its caller saw it. */
export interface CallerTry {
  readonly id: string;
  readonly status: number;
  /** Number of events that arrived; 0 for plain answers. */
  readonly events: number;
  readonly isWhole: boolean;
  readonly retryAfter: string | undefined;
  readonly elapsedMs: number;
}

const ENTRY_DELAY_MS = 100;
const RESTART_MS = 200;
const DEADLINE_MS = 3_000;

export class EndingRunnersCluster extends GatewayCluster {
  afterEnd: AfterEnd = "entryLeaves";
  #starts = 0;

  static override async start(
    gateways: number,
    engines: number,
    services: number,
  ): Promise<EndingRunnersCluster> {
    const cluster = new EndingRunnersCluster(new TestAddresses());
    await cluster.startAll(gateways, engines, services);
    return cluster;
  }

  /** Runners of both services, also those that have ended. */
  get runners(): readonly RunnerStandin[] {
    return [...this.engines, ...this.services];
  }

  get endedCount(): number {
    return this.runners.filter(({ hasEnded }) => hasEnded).length;
  }

  override async startRunner(runner: RunnerStandin, service: string, port = 0): Promise<void> {
    runner.onEnded = () => void this.#handleEnd(runner, service);
    await super.startRunner(runner, service, port);
  }

  /** Runs that runners began of requests with this content, in any try. */
  runsOf({ body }: RepeatedRequest): ExecutedRequest[] {
    return this.runners
      .flatMap(({ executedRequests }) => executedRequests)
      .filter((run) => run.body === body);
  }

  async #handleEnd(runner: RunnerStandin, service: string): Promise<void> {
    const { afterEnd } = this;
    if (afterEnd === "entryStays") return;
    await pause(afterEnd === "restarts" ? RESTART_MS : ENTRY_DELAY_MS);
    if (this.stopped) return;
    if (afterEnd === "entryLeaves") return this.store.remove("servers", runner.id);
    this.#starts += 1;
    const next = new RunnerStandin(`${runner.id}-again-${this.#starts}`, runner.version);
    next.events = runner.events;
    next.stepMs = runner.stepMs;
    (service === "engine" ? this.engines : this.services).push(next);
    await this.startRunner(next, service, runner.endedPort);
    this.store.remove("servers", runner.id);
  }
}

/** Sends one try of a request and reads its answer. */
export async function tryOnce(
  gateway: TestGateway,
  { path, body, endsAt }: RepeatedRequest,
  isStream: boolean,
  deadlineMs = DEADLINE_MS,
): Promise<CallerTry> {
  const id = newRequestId();
  const startedMs = performance.now();
  const headers = {
    host: TEST_HOST,
    "X-Request-Id": id,
    "X-Deadline-Ms": String(deadlineMs),
    ...(isStream ? { "X-Token-Usage": "100,1000", "X-Model": "m", ...programHeaders(body) } : {}),
    ...(endsAt === undefined ? {} : { [ENDS_RUNNER_HEADER]: endsAt }),
  };
  let status = 0;
  let text = "";
  let retryAfter: string | undefined;
  let isWhole = false;
  try {
    const url = `http://${gateway.addresses.callers}${path}`;
    const answer = await httpRequest(url, { method: "POST", headers, body });
    status = answer.statusCode;
    retryAfter = answer.headers["retry-after"]?.toString();
    for await (const chunk of answer.body) text += String(chunk);
    isWhole = true;
  } catch {
    isWhole = false;
  }
  const events = isStream ? text.split("\n\n").length - 1 : 0;
  return { id, status, events, isWhole, retryAfter, elapsedMs: Math.round(performance.now() - startedMs) };
}

/** The headers of a program's turn that is sent again from its start. */
function programHeaders(body: string): Record<string, string> {
  return {
    "X-Program-Id": `program of ${body}`,
    "X-Session-Id": "main",
    "X-Program-Deadline-Ms": "60000",
    "X-Token-Budget": "100000",
  };
}
