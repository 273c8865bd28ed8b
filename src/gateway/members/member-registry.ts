/**
 * Gateways in the store: each writes its address when it starts and reads those of the others, so that they find each
 * other when no seed is up. Nothing else depends on these rows.
 */
import { encode } from "cbor-x";
import { isAddress } from "../../ports/is-address.ts";
import { delay } from "../../runtime/clock.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { decodeRecord } from "../store/decode-record.ts";
import { UnreadableRows } from "../store/unreadable-rows.ts";
import type { MemberDirectory } from "./member-directory.ts";

const TABLE = "gateways";
const RETRY_DELAY_MS = 250;
const READ_INTERVAL_MS = 5_000;
/** A live gateway writes its row again this often, in ms. */
const REFRESH_INTERVAL_MS = 60_000;
/** Rows older than this are of machines that are gone. */
const STALE_AFTER_MS = 3 * REFRESH_INTERVAL_MS;

interface GatewayRow {
  readonly address: string;
  readonly writtenWallMs: number;
}

/** See the module's comment. */
export class MemberRegistry {
  readonly #context: GatewayContext;
  readonly #members: MemberDirectory;
  readonly #address: string;
  readonly #unreadableRows: UnreadableRows;
  #stopped = false;

  constructor(context: GatewayContext, members: MemberDirectory, address: string) {
    this.#context = context;
    this.#members = members;
    this.#address = address;
    this.#unreadableRows = new UnreadableRows(context, TABLE);
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
      // The rows grow with the gateways: were all to read them all the time, the store's traffic would with their square.
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
    this.#unreadableRows.note(key);
    return undefined;
  }
}
