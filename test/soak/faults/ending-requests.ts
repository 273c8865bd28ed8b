import { ENDS_RUNNER_HEADER, type RunnerEnd } from "../../../standins/platform/runner-standin.ts";
import { PATHS, pause } from "../../process/support/gateway-cluster.ts";
import { soakRequest } from "../soak-request.ts";
import { turnHeaders } from "../soak-turn.ts";
import { SoakFault } from "./soak-fault.ts";

/** Runners that one request may end. */
const MAX_ENDED_RUNNERS = 3;
const RETRY_MS = 120;
const TIMEOUT_MS = 1_500;
const MAX_REQUESTS = 2;
const MAX_KILL_GAP_MS = 600;
/** Chance of each runner to be killed in a round of kills. */
const KILL_SHARE = 0.25;

let requests = 0;

/**
 * Sends a few requests that end their runners, again and again through any gateway, and kills runners beside them. The count
 * may be lost with all gateways, and a gateway may die before it sees an end.
 */
export class EndingRequests extends SoakFault {
  #isOver = false;
  #work: Promise<unknown> = Promise.resolve();

  override begin(): string {
    const count = 1 + this.random.below(MAX_REQUESTS);
    const sent = Array.from({ length: count }, () => this.#drawRequest());
    const kills = this.random.unit() < 0.5;
    this.#work = Promise.all([...sent.map((request) => this.#sendAgainAndAgain(request)), this.#kill(kills)]);
    return `${sent.map(({ path, endsAt }) => `${path} ${endsAt}`).join(", ")}${kills ? ", kills" : ""}`;
  }

  override end(): void {
    this.#isOver = true;
  }

  override async settled(): Promise<void> {
    await this.#work;
  }

  #drawRequest(): EndingRequest {
    requests += 1;
    const path = this.draw([PATHS.kept, PATHS.turn, PATHS.safe, PATHS.unsafe]);
    const endsAt = this.draw(["beforeHead", "insideEvent", "betweenEvents"] as const);
    return { name: `ending-${requests}`, path, endsAt };
  }

  async #sendAgainAndAgain({ name, path, endsAt }: EndingRequest): Promise<void> {
    const killsBefore = this.cluster.killedGateways;
    const isStream = path === PATHS.kept || path === PATHS.turn;
    for (let tries = 1; !this.#isOver; tries += 1) {
      const id = `${name}-${tries}`;
      const headers = isStream
        ? turnHeaders({ id, program: name, budget: 100_000, previous: undefined })
        : { "X-Request-Id": id };
      const gateway = this.cluster.throughProxy(this.draw(this.cluster.gateways));
      this.cluster.sentByFaults.add(id);
      await soakRequest(gateway, path, { ...headers, [ENDS_RUNNER_HEADER]: endsAt }, name, TIMEOUT_MS);
      await pause(RETRY_MS);
    }
    const ended = this.cluster.endedUnder(name);
    const allowed = MAX_ENDED_RUNNERS + this.cluster.killedGateways - killsBefore;
    if (ended > allowed) this.cluster.onBroken("poison requests", `${name} (${path}) ended ${ended} runners`);
  }

  async #kill(kills: boolean): Promise<void> {
    while (kills && !this.#isOver) {
      await pause(this.random.unit() * MAX_KILL_GAP_MS);
      for (const runner of this.cluster.runningRunners) if (this.random.unit() < KILL_SHARE) runner.end();
    }
  }
}

interface EndingRequest {
  readonly name: string;
  readonly path: string;
  readonly endsAt: RunnerEnd;
}
