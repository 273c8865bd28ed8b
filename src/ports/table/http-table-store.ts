import { platformError } from "../../errors/tulipwheel-error.ts";
import type { HttpJsonClient } from "../http-json.ts";
import type { Row, TableStore, Transaction, TransactionResult } from "./table-store.ts";

const CONFLICT = 409;
const OK = 200;

/** The table over HTTP: `GET /rows/{key}`, `GET /rows?prefix=&after=&limit=`, `POST /transactions`. */
export class HttpTableStore implements TableStore {
  readonly #client: HttpJsonClient;
  readonly #address: string;

  constructor(client: HttpJsonClient, address: string) {
    this.#client = client;
    this.#address = address;
  }

  async get(key: string): Promise<Row> {
    return (await this.#client.fetch(this.#address, "GET", `/rows/${encodeURIComponent(key)}`)) as Row;
  }

  async list(prefix: string, after: string, limit: number): Promise<readonly Row[]> {
    const query = new URLSearchParams({ prefix, after, limit: String(limit) });
    return (await this.#client.fetch(this.#address, "GET", `/rows?${query}`)) as Row[];
  }

  async transact(transaction: Transaction): Promise<TransactionResult> {
    const writes = transaction.writes.map(({ key, value }) => ({ key, value: value ?? null }));
    const body = { conditions: transaction.conditions, writes };
    const answer = await this.#client.exchange(this.#address, "POST", "/transactions", body);
    if (answer.status === OK) return { type: "committed" };
    if (answer.status === CONFLICT) {
      return { type: "conflict", rows: (answer.body as { rows: Row[] }).rows };
    }
    throw platformError(`The table answered ${answer.status}.`);
  }
}
