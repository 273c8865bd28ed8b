/** Sends callers' requests to gateways that warm up: turns of programs and plain calls. */
import { setTimeout as wait } from "node:timers/promises";
import { Pool } from "undici";
import { sampleCall } from "../../standins/platform/sample-call.ts";
import { sampleTurn } from "../../standins/platform/sample-turn.ts";

const OK = 200;
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;
/** Number of requests of each kind to each gateway, sent sequentially. */
const REQUESTS_PER_GATEWAY = 12;
/** Idle time, in ms, in which heartbeats, digests and claims run and are compiled too. */
const IDLE_TIME_MS = 2_500;

/** Sends requests to each gateway; returns whether all were served in time. */
export async function sendWarmUpRequests(callers: readonly string[]): Promise<boolean> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  const pools = callers.map((address) => new Pool(`http://${address}`, { connections: 2 }));
  for (const pool of pools) {
    while (!(await isServed(pool, 0))) {
      if (performance.now() > deadlineMs) return false;
      await wait(POLL_INTERVAL_MS);
    }
  }
  await wait(IDLE_TIME_MS);
  let allServed = true;
  for (let index = 1; index <= REQUESTS_PER_GATEWAY; index += 1)
    for (const [poolIndex, pool] of pools.entries())
      allServed = (await isServed(pool, index * pools.length + poolIndex)) && allServed;
  return allServed;
}

async function isServed(pool: Pool, index: number): Promise<boolean> {
  for (const { path, headers, body } of [sampleTurn(index), sampleCall(index)]) {
    try {
      const answer = await pool.request({ path, method: "POST", headers, body });
      await answer.body.dump();
      if (answer.statusCode !== OK) return false;
    } catch {
      // The gateway does not listen yet: the caller retries until its deadline.
      return false;
    }
  }
  return true;
}
