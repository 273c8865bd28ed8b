/**
 * Registers this gateway's address in the store and reads the addresses of the others, so that gateways find each other
 * when no seed is running. Nothing else depends on these rows.
 */
import { encode } from "cbor-x";
import { isAddress } from "../../ports/is-address.ts";
import { delay } from "../../runtime/clock.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { decodeRecord } from "../store/decode-record.ts";
import { UnreadableRowReporter } from "../store/unreadable-row-reporter.ts";
import type { MemberDirectory } from "./member-directory.ts";

const TABLE = "gateways";
const RETRY_DELAY_MS = 250;
const READ_INTERVAL_MS = 5_000;
/** Interval at which a running gateway rewrites its row, in ms. */
const REFRESH_INTERVAL_MS = 60_000;
/** Age from which a row is ignored, in ms: its gateway no longer runs. */
const STALE_AFTER_MS = 3 * REFRESH_INTERVAL_MS;

interface GatewayRow {
  readonly address: string;
  readonly writtenWallMs: number;
}

/** Keeps this gateway's row up to date and reads the rows of the others. */
export class MemberRegistry {
  readonly #context: GatewayContext;
  readonly #members: MemberDirectory;
  readonly #address: string;
  readonly #unreadableRows: UnreadableRowReporter;
  #stopped = false;

  constructor(context: GatewayContext, members: MemberDirectory, address: string) {
    this.#context = context;
    this.#members = members;
    this.#address = address;
    this.#unreadableRows = new UnreadableRowReporter(context, TABLE);
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  async #run(): Promise<void> {
    const { clock } = this.#context;
    let registeredMs = Number.NEGATIVE_INFINITY;
    while (!this.#stopped) {
      const nowMs = clock.monotonicMs();
      if (nowMs - registeredMs >= REFRESH_INTERVAL_MS && (await this.#register())) registeredMs = nowMs;
      // There is one row per gateway. If all gateways read all rows, the store's traffic would grow quadratically.
      const read = this.#members.looksForOthers ? await this.#readOthers() : true;
      await delay(clock, read ? READ_INTERVAL_MS : RETRY_DELAY_MS);
    }
  }

  async #register(): Promise<boolean> {
    const row: GatewayRow = { address: this.#address, writtenWallMs: this.#context.clock.wallMs() };
    const outcome = await this.#context.platform.store.transact({
      conditions: [],
      puts: [{ table: TABLE, part: "", key: this.#context.settings.name, value: encode(row) }],
      removes: [],
    });
    return outcome.type === "committed";
  }

  async #readOthers(): Promise<boolean> {
    const outcome = await this.#context.platform.store.read({ table: TABLE, part: "" });
    if (outcome.type !== "rows") return false;
    const nowMs = this.#context.clock.wallMs();
    const rows = outcome.rows.map(({ key, value }) => this.#decode(key, value));
    const live = rows
      .filter((row) => row !== undefined)
      .filter(({ writtenWallMs }) => nowMs - writtenWallMs < STALE_AFTER_MS);
    this.#members.addKnownAddresses(live.map(({ address }) => address));
    return true;
  }

  #decode(key: string, value: Buffer): GatewayRow | undefined {
    const { address, writtenWallMs } = decodeRecord(value) ?? {};
    if (isAddress(address) && typeof writtenWallMs === "number") return { address, writtenWallMs };
    this.#unreadableRows.report(key);
    return undefined;
  }
}
