/** Gives places back to their dispatchers: those of a few ms together, or with the next question. */
import type { Clock } from "../../runtime/clock.ts";
import type { Transport } from "../../runtime/transport.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { ReturnedPlace } from "../../scheduling/place-queue/index.ts";
import type { GatewayMessage } from "../gateway-messages.ts";

/** How long a place waits to be given back, in ms: short beside the shortest calls, since it lies idle meanwhile. */
const GATHER_MS = 2;

interface Gathered {
  readonly returned: ReturnedPlace[];
  readonly withdrawn: RequestId[];
}

/** See the module's comment. */
export class PlaceReturns {
  readonly #clock: Clock;
  readonly #transport: Pick<Transport<GatewayMessage>, "send">;
  readonly #gathered = new Map<string, Gathered>();
  #scheduled = false;

  constructor(clock: Clock, transport: Pick<Transport<GatewayMessage>, "send">) {
    this.#clock = clock;
    this.#transport = transport;
  }

  /** Gives a place back to the dispatcher at an address. */
  add(address: string, place: ReturnedPlace): void {
    this.#for(address).returned.push(place);
  }

  /** Tells the dispatcher at an address that a request wants no place any more. */
  withdraw(address: string, request: RequestId): void {
    this.#for(address).withdrawn.push(request);
  }

  /** Sends what there is for an address, as a message is about to go there. */
  flush(address: string): void {
    const gathered = this.#gathered.get(address);
    if (!gathered) return;
    this.#gathered.delete(address);
    const { returned, withdrawn } = gathered;
    this.#transport.send(address, {
      type: "returnPlaces",
      returned,
      ...(withdrawn.length === 0 ? {} : { withdrawn }),
    });
  }

  #for(address: string): Gathered {
    this.#schedule();
    const known = this.#gathered.get(address);
    if (known) return known;
    const begun = { returned: [], withdrawn: [] };
    this.#gathered.set(address, begun);
    return begun;
  }

  #schedule(): void {
    if (this.#scheduled) return;
    this.#scheduled = true;
    this.#clock.schedule(GATHER_MS, () => {
      this.#scheduled = false;
      for (const address of [...this.#gathered.keys()]) this.flush(address);
    });
  }
}
