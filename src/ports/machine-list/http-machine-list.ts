import type { HttpJsonClient } from "../http-json.ts";
import type { Machine, MachineList } from "./machine-list.ts";

/** The machine list over HTTP: `GET /machines`, `PUT /machines/{name}`. */
export class HttpMachineList implements MachineList {
  readonly #client: HttpJsonClient;
  readonly #address: string;

  constructor(client: HttpJsonClient, address: string) {
    this.#client = client;
    this.#address = address;
  }

  async read(): Promise<readonly Machine[]> {
    return (await this.#client.fetch(this.#address, "GET", "/machines")) as Machine[];
  }

  async report(machine: Machine): Promise<void> {
    await this.#client.fetch(this.#address, "PUT", `/machines/${machine.name}`, machine);
  }
}
