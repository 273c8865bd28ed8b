/**
 * Allocates addresses for the processes of one test cluster. Each cluster gets its own loopback IP. Outgoing
 * connections use 127.0.0.1 as their source address, so none of them can take a port between the moment it is chosen
 * and the moment the process under test listens on it.
 */

const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
const BYTE = 256;
const FIRST_SECOND_OCTET = 64;
const SECOND_OCTETS = 128;

let clusters = 0;

/** Allocates `IP:port` addresses on one loopback IP. */
export class TestAddresses {
  readonly #ip: string;
  #nextPort = FIRST_PORT;

  constructor(processId = process.pid) {
    const second = FIRST_SECOND_OCTET + (clusters % SECOND_OCTETS);
    const third = Math.floor(processId / BYTE) % BYTE;
    const fourth = 1 + (processId % (BYTE - 2));
    this.#ip = `127.${second}.${third}.${fourth}`;
    clusters += 1;
  }

  /** Returns an address, `IP:port`, that was not returned before. */
  next(): string {
    if (this.#nextPort > LAST_PORT) throw new Error("all ports of this cluster are in use");
    const address = `${this.#ip}:${this.#nextPort}`;
    this.#nextPort += 1;
    return address;
  }
}
