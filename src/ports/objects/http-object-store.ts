import { platformError } from "../../errors/tulipwheel-error.ts";
import { requireFraming } from "../http/body-framing.ts";
import type { HttpPools } from "../http-json.ts";
import type { ObjectStore } from "./object-store.ts";

const NOT_FOUND = 404;
const OK = 200;
const TIMEOUT_MS = 10_000;

/** The object store over HTTP: `PUT`, `GET` and `DELETE /objects/{key}`, `GET /objects?prefix=`. */
export class HttpObjectStore implements ObjectStore {
  readonly #pools: HttpPools;
  readonly #address: string;

  constructor(pools: HttpPools, address: string) {
    this.#pools = pools;
    this.#address = address;
  }

  async put(key: string, bytes: Uint8Array): Promise<void> {
    const { status } = await this.#request("PUT", objectPath(key), bytes);
    if (status !== OK) throw platformError(`Writing ${key} was answered ${status}.`);
  }

  async get(key: string): Promise<Uint8Array | undefined> {
    const { status, bytes } = await this.#request("GET", objectPath(key));
    if (status === NOT_FOUND) return undefined;
    if (status !== OK) throw platformError(`Reading ${key} was answered ${status}.`);
    return bytes;
  }

  async remove(key: string): Promise<void> {
    await this.#request("DELETE", objectPath(key));
  }

  async list(prefix: string): Promise<readonly string[]> {
    const { status, bytes } = await this.#request("GET", `/objects?${new URLSearchParams({ prefix })}`);
    if (status !== OK) throw platformError(`Listing ${prefix} was answered ${status}.`);
    return JSON.parse(Buffer.from(bytes).toString("utf8")) as string[];
  }

  async #request(method: "PUT" | "GET" | "DELETE", path: string, body?: Uint8Array) {
    try {
      const response = await this.#pools.get(this.#address).request({
        method,
        path,
        body: body ? Buffer.from(body) : null,
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      const bytes = new Uint8Array(await response.body.arrayBuffer());
      requireFraming(method, response.statusCode, response.headers);
      return { status: response.statusCode, bytes };
    } catch (error) {
      throw platformError(`${method} ${path} at ${this.#address} got no answer.`, error);
    }
  }
}

function objectPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}
