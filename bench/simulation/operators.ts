import { SeededRandomSource } from "../../src/runtime/random-source.ts";
import { RpcEndpoint } from "../../src/runtime/rpc.ts";
import type { Observations } from "./observations.ts";
import { SimulatedProcess } from "./virtual-time.ts";
import { TEMPLATE, TENANT } from "./workload.ts";
import type { World } from "./world.ts";

const ASK_TIMEOUT_MS = 8_000;
const RACE_PAUSE_MS = 2_500;
const PROBE_PAUSE_MS = 900;
const PROBE_TIMEOUT_MS = 6_000;

/**
 * Simulates operators: two that change the same key concurrently, and one that withdraws a model and then probes
 * whether it is still served.
 */
export class Operators {
  readonly #world: World;
  readonly #observations: Observations;
  readonly #process: SimulatedProcess;
  readonly #rpc: RpcEndpoint;
  readonly #random: SeededRandomSource;
  /** The time at which the withdrawal of the model was accepted. */
  withdrawnMs = Number.POSITIVE_INFINITY;

  constructor(world: World, observations: Observations, seed: number) {
    this.#world = world;
    this.#observations = observations;
    this.#random = new SeededRandomSource(seed);
    this.#process = new SimulatedProcess("operators", "zone-0", world.time);
    const transport = world.network.attach(this.#process, {
      instance: "operators",
      address: "10.0.4.0:7000",
    });
    this.#rpc = new RpcEndpoint(transport, this.#process, this.#random);
    transport.onMessage((message) => {
      if (message.type === "rpcResponse") this.#rpc.onResponse(message);
    });
  }

  /** Applies the templates that the workload needs. */
  async applyTemplates(budgetTokens: number): Promise<void> {
    const template = [
      "kind: template",
      `name: ${TEMPLATE}`,
      "models: [agent-llm, side-llm]",
      "priorityClass: deadline",
      `budget: { tokens: ${budgetTokens}, window: total }`,
      "services: { pay-api: { repeatable: ['GET /*'], timeoutMs: 4000 } }",
    ].join("\n");
    await this.#applyUntilAccepted("setup-template", `template/${TEMPLATE}`, template);
    const tenant = `kind: tenant\ntemplate: ${TEMPLATE}\ntenant: ${TENANT}\n`;
    await this.#applyUntilAccepted("setup-tenant", `tenant/${TEMPLATE}/${TENANT}`, tenant);
  }

  /** Lets both operators change one key repeatedly, each based on the version that it last read. */
  async raceChanges(endMs: number): Promise<void> {
    await Promise.all([this.#changeRepeatedly("left", endMs), this.#changeRepeatedly("right", endMs)]);
  }

  /** Withdraws a model at `atMs`, and then probes until `endMs` whether calls to it still succeed. */
  async withdrawAndProbe(atMs: number, endMs: number): Promise<void> {
    await this.#pause(atMs - this.#world.time.nowMs);
    const content = `kind: tenant\ntemplate: ${TEMPLATE}\ntenant: ${TENANT}\nmodels: [agent-llm]\n`;
    await this.#applyUntilAccepted("withdraw", `tenant/${TEMPLATE}/${TENANT}`, content);
    this.withdrawnMs = this.#world.time.nowMs;
    this.#world.note("model side-llm is withdrawn");
    while (this.#world.time.nowMs < endMs) {
      await this.#probe();
      await this.#pause(PROBE_PAUSE_MS);
    }
  }

  async #probe(): Promise<void> {
    const slot = this.#world.ingresses.find((ingress) => ingress.process.alive);
    const startedMs = this.#world.time.nowMs;
    if (!slot) return;
    const served = new Promise<boolean>((resolve) => {
      this.#world.time.after(PROBE_TIMEOUT_MS, () => resolve(false));
      this.#callWithdrawn(slot.ingress).then(resolve, () => resolve(false));
    });
    this.#observations.probes.push({ startedMs, served: await served });
  }

  async #callWithdrawn(core: World["ingresses"][number]["ingress"]): Promise<boolean> {
    const parameters = { tenant: TENANT, template: TEMPLATE, parent: undefined, deadlineMs: undefined };
    const { id } = await core.openProgram(parameters);
    const request = {
      type: "completion",
      model: "side-llm",
      messages: [{ role: "user", content: "probe #tokens=3" }],
      maxTokens: 10,
    } as const;
    const call = { tenant: TENANT, program: id, number: undefined, idempotencyKey: undefined, request };
    const session = await core.makeCall(
      { ...call, patienceMs: PROBE_TIMEOUT_MS, streamed: false },
      () => undefined,
    );
    const result = await session.result;
    void core.endProgram(id, TENANT).catch(() => undefined);
    return result.type === "answered";
  }

  async #changeRepeatedly(operator: string, endMs: number): Promise<void> {
    const key = "runner/engine-0";
    for (let round = 1; this.#world.time.nowMs < endMs; round++) {
      const base = await this.#versionOf(key);
      const change = `${operator}-${round}`;
      if (base !== undefined) await this.#applyAndObserve(change, key, base);
      await this.#pause(this.#random.below(RACE_PAUSE_MS));
    }
  }

  async #applyAndObserve(change: string, key: string, baseVersion: number): Promise<void> {
    const content = "kind: runner\nname: engine-0\ndraining: false\n";
    const reply = await this.#ask("applyConfiguration", { change, key, content, baseVersion });
    const atMs = this.#world.time.nowMs;
    if (reply?.type === "done") {
      this.#observations.changes.push({ change, outcome: "accepted", version: reply.body.version, atMs });
    } else {
      const conflict = reply?.type === "problem" && reply.error.problem.kind === "configuration-conflict";
      this.#observations.changes.push({
        change,
        outcome: conflict ? "conflict" : "unknown",
        version: 0,
        atMs,
      });
    }
  }

  async #versionOf(key: string): Promise<number | undefined> {
    const reply = await this.#ask("readConfiguration", { prefix: key });
    return reply?.type === "done" ? (reply.body.entries.at(-1)?.version ?? 0) : undefined;
  }

  /** Retries a change until it is accepted. All attempts have the same identifier, so it is applied only once. */
  async #applyUntilAccepted(change: string, key: string, content: string): Promise<void> {
    for (;;) {
      const baseVersion = (await this.#versionOf(key)) ?? 0;
      const reply = await this.#ask("applyConfiguration", { change, key, content, baseVersion });
      if (reply?.type === "done") return;
      await this.#pause(500);
    }
  }

  async #ask<Name extends "applyConfiguration" | "readConfiguration">(
    name: Name,
    body: Parameters<RpcEndpoint["ask"]>[2] & object,
  ) {
    const living = this.#world.nodes.filter((node) => node.process.alive);
    if (living.length === 0) return undefined;
    const node = living[this.#random.below(living.length)];
    return this.#rpc.ask(node.address, name, body as never, ASK_TIMEOUT_MS);
  }

  #pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.#world.time.after(Math.max(1, ms), resolve);
    });
  }
}
