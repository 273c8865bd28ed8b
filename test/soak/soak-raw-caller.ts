/** A caller on bare connections: pipelines requests, or knows no chunks, and sees how each answer is framed. */

import type { SeededRandomSource } from "../../src/runtime/random-source.ts";
import type { RawAnswer } from "../../standins/http/raw-answer.ts";
import { PATHS, pause, type TestGateway } from "../process/support/gateway-cluster.ts";
import { type RawRequest, sendRaw } from "../process/support/raw-caller.ts";
import type { SoakCluster } from "./soak-cluster.ts";
import type { SoakLedger } from "./soak-ledger.ts";
import { STEADY_KEY } from "./soak-tenants.ts";
import { MAX_TURN_TOKENS } from "./soak-turn.ts";

const KINDS = ["turn", "safe", "unsafe"] as const;
const MAX_PIPELINED = 3;
const DEADLINE_MS = 3_000;
const PAUSE_MS = 20;
/** Time after which the end of a process that was killed is known, in ms. */
const EXIT_NOTICE_MS = 300;
const OK = 200;

interface SentRequest extends RawRequest {
  readonly id: string;
  readonly kind: (typeof KINDS)[number];
}

export class SoakRawCaller {
  readonly #name: string;
  readonly #cluster: SoakCluster;
  readonly #ledger: SoakLedger;
  readonly #random: SeededRandomSource;
  #count = 0;

  constructor(name: string, cluster: SoakCluster, ledger: SoakLedger, random: SeededRandomSource) {
    this.#name = name;
    this.#cluster = cluster;
    this.#ledger = ledger;
    this.#random = random;
  }

  /** Sends requests until `isOver`. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await this.#useConnection();
      await pause(PAUSE_MS);
    }
  }

  async #useConnection(): Promise<void> {
    const { gateways } = this.#cluster;
    const gateway = gateways[this.#random.below(gateways.length)] as TestGateway;
    const version = this.#random.unit() < 0.5 ? "1.0" : "1.1";
    const count = version === "1.0" ? 1 : 1 + this.#random.below(MAX_PIPELINED);
    const requests = Array.from({ length: count }, () => this.#nextRequest(version));
    const { process } = gateway;
    const answers = await sendRaw(gateway, ...requests);
    for (const [index, request] of requests.entries()) {
      const answer = answers[index];
      const { id, kind } = request;
      const whole = answer !== undefined && answer.end !== "broken" && isWhole(request, answer);
      this.#ledger.note({ id, kind, gateway: gateway.name, status: answer?.status ?? 0, whole });
      if (!answer || whole || mayBeShort(request, answer)) continue;
      if (answer.end === "connection") await pause(EXIT_NOTICE_MS);
      // The kernel ends the connections of a killed process in order.
      const wasKilled = process.ended || gateway.process !== process;
      if (answer.end === "connection" && wasKilled) continue;
      this.#ledger.recordBroken("whole answers", `${id} on ${version}: ${JSON.stringify(answer)}`);
    }
  }

  #nextRequest(version: "1.0" | "1.1"): SentRequest {
    this.#count += 1;
    const id = `${this.#name}-${this.#count}`;
    const kind = KINDS[this.#random.below(KINDS.length)] ?? "turn";
    const stream: Record<string, string> =
      kind === "turn" ? { "X-Token-Usage": `100,${MAX_TURN_TOKENS}`, "X-Model": "m" } : {};
    const headers = {
      "X-Request-Id": id,
      "X-Deadline-Ms": String(DEADLINE_MS),
      Authorization: `Bearer ${STEADY_KEY}`,
      ...stream,
    };
    return { id, kind, version, path: PATHS[kind], headers };
  }
}

function isWhole({ id, kind }: SentRequest, { status, body }: RawAnswer): boolean {
  if (status !== OK) return true;
  if (kind !== "turn") return body === `done ${id}`;
  const data = Array.from(body.matchAll(/^data: (.*?)\r?$/gm), ([, text]) => text);
  return data.join() === [1, 2, 3, 4].map((event) => `${id}-${event}`).join();
}

/** Whether an answer may be a part: the caller sees that it is broken, or the end of a plain one was left open. */
function mayBeShort({ id, kind }: SentRequest, { end, body }: RawAnswer): boolean {
  if (end === "broken") return true;
  return end === "connection" && kind !== "turn" && `done ${id}`.startsWith(body);
}
