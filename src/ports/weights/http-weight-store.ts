import type { HttpJsonClient } from "../http-json.ts";
import type { WeightSet, WeightStore } from "./weight-store.ts";

/** The weight store over HTTP: `GET /weights`. */
export class HttpWeightStore implements WeightStore {
  readonly #client: HttpJsonClient;
  readonly #address: string;

  constructor(client: HttpJsonClient, address: string) {
    this.#client = client;
    this.#address = address;
  }

  async list(): Promise<readonly WeightSet[]> {
    return (await this.#client.fetch(this.#address, "GET", "/weights")) as WeightSet[];
  }
}
