/**
 * Remembers where streams began, so that a caller can take a broken stream up at any gateway. The gateway that carries a
 * stream tells a few others, chosen by hashing the stream's key, which are asked when a caller takes the stream up. Nothing
 * is told while the runners of a pool have had a single version for longer than a stream lasts: the list of runners then
 * says where each stream began.
 */
import { preferredOwners } from "../../coordination/partition-ownership/index.ts";
import { delay, repeat } from "../../runtime/clock.ts";
import type { SoftwareVersion } from "../../scheduling/ids/software-version.ts";
import { OriginTable, type StreamKey, type StreamOrigin } from "../../scheduling/stream-versions/index.ts";
import type {
  BegunStream,
  FindStreamRequest,
  FindStreamResponse,
  StreamsBegun,
} from "../gateway-messages.ts";
import type { GatewayCandidate } from "../members/gateway-candidate.ts";
import type { OriginVerdict } from "./origin-verdict.ts";
import type { StreamOriginsParts } from "./stream-origins-parts.ts";

/** Gateways that remember a stream, besides the one that carries it: one of them should outlive the loss of half of all. */
const COPIES = 3;
/** Gateways that are asked: some more, because the members may have changed since the stream began. */
const ASKED_GATEWAYS = 5;
/** How long a gateway has to answer, in ms. */
const ANSWER_TIMEOUT_MS = 150;
/** How long the store has to confirm the list of runners, in ms. The caller of the stream waits meanwhile. */
const CONFIRM_TIMEOUT_MS = 400;
/** How long it may take to learn that a runner has started again, in ms, once the origin of a stream is known. */
const MAX_RESTART_CHECK_MS = 100;
/** How often it is checked whether streams that have begun must be told now, in ms. */
const CHECK_INTERVAL_MS = 250;

interface RunningStream {
  readonly origin: StreamOrigin;
  isTold: boolean;
}

export class StreamOrigins {
  readonly #parts: StreamOriginsParts;
  /** Streams that this gateway remembers for others. */
  readonly #table = new OriginTable();
  /** Streams that this gateway carries. */
  readonly #running = new Map<StreamKey, RunningStream>();

  constructor(parts: StreamOriginsParts) {
    this.#parts = parts;
    parts.versions.onListRead = () => this.#tellPending();
    parts.rpc.handle("findStream", async (request) => this.#answer(request));
  }

  start(): void {
    repeat(this.#parts.context.clock, CHECK_INTERVAL_MS, () => this.#tellPending());
  }

  /** Records a stream whose first event is about to be forwarded, or one that was taken up. */
  recordBegin(stream: StreamKey, origin: StreamOrigin): void {
    const running = { origin, isTold: false };
    this.#running.set(stream, running);
    if (this.#mustTell(origin)) this.#tell([[stream, running]]);
  }

  /** Records that this gateway no longer carries a stream. Unless it is complete, its caller may still take it up. */
  recordEnd(stream: StreamKey, isComplete: boolean): void {
    const running = this.#running.get(stream);
    if (!running) return;
    this.#running.delete(stream);
    if (!isComplete) this.#table.store(stream, running.origin, this.#nowMs);
  }

  /** Remembers the streams of another gateway. */
  onStreamsBegun({ streams }: StreamsBegun): void {
    const nowMs = this.#nowMs;
    for (const { stream, pool, version, runner } of streams)
      this.#table.store(stream, { pool, version, runner }, nowMs);
  }

  /**
   * Finds out at which version a stream began that a caller takes up in a pool.
   *
   * @param stream undefined if the caller does not name the request that began the stream
   */
  async find(stream: StreamKey | undefined, pool: string): Promise<OriginVerdict> {
    const own = stream === undefined ? undefined : this.#findHere(stream);
    if (own?.type === "ambiguous") return { type: "unknown", reason: "two streams have this key" };
    const confirming = this.#confirmList();
    if (own?.type === "known") return this.#verified(own.origin, "here", confirming);
    const answers = this.#askHolders({ stream, pool });
    const proven = confirming.then((isConfirmed) =>
      isConfirmed ? this.#onlyVersion(pool, this.#ownHistory(pool)) : undefined,
    );
    const found = await firstKnown(answers, proven);
    if (found?.type === "origin") return this.#verified(found.origin, "peer", confirming);
    if (found?.type === "version") return { type: "version", version: found.version };
    const all = await Promise.all(answers);
    if (all.some((answer) => answer?.type === "ambiguous"))
      return { type: "unknown", reason: "two streams have this key" };
    return (await confirming) ? this.#fromPeerHistories(pool, all) : { type: "unknown", reason: UNCONFIRMED };
  }

  /** A gateway that has just started relies on what others have seen of the list before. */
  #fromPeerHistories(pool: string, answers: readonly (FindStreamResponse | undefined)[]): OriginVerdict {
    const histories = answers.flatMap((answer) => (answer?.type === "absent" ? [answer.onlyVersion] : []));
    const version = this.#onlyVersion(
      pool,
      histories.find((history) => history !== undefined),
    );
    return version === undefined
      ? { type: "unknown", reason: "nobody remembers the stream, and the pool has had several versions" }
      : { type: "version", version };
  }

  /** The version of a history that ends at the list that was just confirmed. */
  #onlyVersion(pool: string, history: SoftwareVersion | undefined): SoftwareVersion | undefined {
    if (history === undefined) return undefined;
    const { versions, streamLifetimeMs } = this.#parts;
    return versions.hasSeenOther(pool, history, streamLifetimeMs(), this.#nowMs) ? undefined : history;
  }

  #ownHistory(pool: string): SoftwareVersion | undefined {
    return this.#parts.versions.onlyVersion(pool, this.#parts.streamLifetimeMs(), this.#nowMs);
  }

  /** The verdict on a known origin, once the list of runners is up to date. */
  async #verified(
    origin: StreamOrigin,
    knownBy: "here" | "peer",
    confirming: Promise<boolean>,
  ): Promise<OriginVerdict> {
    await Promise.race([confirming, delay(this.#parts.context.clock, MAX_RESTART_CHECK_MS)]);
    const { runner, version } = origin;
    return this.#parts.versions.isReplaced({ name: runner, version })
      ? { type: "unknown", reason: "the runner has started again with another version" }
      : { type: "origin", origin, knownBy };
  }

  #findHere(stream: StreamKey): FindStreamResponse {
    const running = this.#running.get(stream);
    if (running) return { type: "known", origin: running.origin };
    const found = this.#table.find(stream, this.#nowMs);
    return found.type === "absent" ? NOT_REMEMBERED : found;
  }

  #answer({ stream, pool }: FindStreamRequest): FindStreamResponse {
    const found = stream === undefined ? NOT_REMEMBERED : this.#findHere(stream);
    return found.type === "absent" ? { type: "absent", onlyVersion: this.#ownHistory(pool) } : found;
  }

  /** Asks those who remember the stream or, without one, any gateways for what they have read of the list. */
  #askHolders(request: FindStreamRequest): Promise<FindStreamResponse | undefined>[] {
    const { members } = this.#parts;
    const key = request.stream ?? request.pool;
    const asked = [
      ...this.#preferred(key, members.originHolders(), ASKED_GATEWAYS),
      ...this.#preferred(key, members.lostOriginHolders(), ASKED_GATEWAYS),
    ];
    return asked.map(async ({ address }) => {
      const reply = await this.#parts.rpc.ask(address, "findStream", request, ANSWER_TIMEOUT_MS);
      return reply.type === "done" ? reply.body : undefined;
    });
  }

  #confirmList(): Promise<boolean> {
    const timeout = delay(this.#parts.context.clock, CONFIRM_TIMEOUT_MS).then(() => false);
    return Promise.race([this.#parts.versions.confirmList(), timeout]);
  }

  #mustTell({ pool }: StreamOrigin): boolean {
    return this.#ownHistory(pool) === undefined;
  }

  /** Tells of streams that have begun while their pool had a single version, once it has several. */
  #tellPending(): void {
    const pending = [...this.#running].filter(([, { origin, isTold }]) => !isTold && this.#mustTell(origin));
    if (pending.length > 0) this.#tell(pending);
  }

  #tell(streams: readonly (readonly [StreamKey, RunningStream])[]): void {
    const byAddress = new Map<string, BegunStream[]>();
    for (const [stream, running] of streams) {
      running.isTold = true;
      for (const { address } of this.#holdersOf(stream)) {
        const begun = byAddress.get(address) ?? [];
        byAddress.set(address, begun);
        begun.push({ stream, ...running.origin });
      }
    }
    for (const [address, begun] of byAddress)
      this.#parts.transport.send(address, { type: "streamsBegun", streams: begun });
  }

  /** The gateways to tell: those that are alive or, while hardly any is known to be, also those that may be. */
  #holdersOf(stream: StreamKey): GatewayCandidate[] {
    const { members } = this.#parts;
    const alive = members.originHolders();
    const candidates = alive.length < COPIES ? [...alive, ...members.lostOriginHolders()] : alive;
    return this.#preferred(stream, candidates, COPIES);
  }

  #preferred(key: string, candidates: readonly GatewayCandidate[], count: number): GatewayCandidate[] {
    return preferredOwners(this.#parts.context.hash.hash32(key), candidates, count);
  }

  get #nowMs(): number {
    return this.#parts.context.clock.monotonicMs();
  }
}

const NOT_REMEMBERED: FindStreamResponse = { type: "absent", onlyVersion: undefined };
const UNCONFIRMED = "nobody remembers the stream, and the list of runners can't be confirmed";

type KnownStart =
  | { readonly type: "origin"; readonly origin: StreamOrigin }
  | { readonly type: "version"; readonly version: SoftwareVersion };

/** Resolves with the first remembered origin or proven version; undefined once all have ended without one. */
function firstKnown(
  answers: readonly Promise<FindStreamResponse | undefined>[],
  proven: Promise<SoftwareVersion | undefined>,
): Promise<KnownStart | undefined> {
  return new Promise((resolve) => {
    const remembered = answers.map(async (pending) => {
      const answer = await pending;
      if (answer?.type === "known") resolve({ type: "origin", origin: answer.origin });
    });
    const derived = proven.then((version) => {
      if (version !== undefined) resolve({ type: "version", version });
    });
    void Promise.all([...remembered, derived]).then(() => resolve(undefined));
  });
}
