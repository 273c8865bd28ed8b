/**
 * Returns places to their dispatchers. They are batched for a few ms, or until the next request is sent to the same
 * dispatcher.
 */
import type { Clock } from "../../runtime/clock.ts";
import type { Transport } from "../../runtime/transport.ts";
import type { RequestId } from "../../scheduling/ids/request-id.ts";
import type { ReturnedPlace } from "../../scheduling/place-queue/index.ts";
import type { GatewayMessage } from "../gateway-messages.ts";

/** How long a returned place waits for its batch, in ms: short compared with the shortest calls, since it is idle meanwhile. */
const BATCH_DELAY_MS = 2;

interface ReturnBatch {
  readonly returned: ReturnedPlace[];
  readonly withdrawn: RequestId[];
}

export class PlaceReturnSender {
  readonly #clock: Clock;
  readonly #transport: Pick<Transport<GatewayMessage>, "send">;
  readonly #batches = new Map<string, ReturnBatch>();
  #isFlushScheduled = false;

  constructor(clock: Clock, transport: Pick<Transport<GatewayMessage>, "send">) {
    this.#clock = clock;
    this.#transport = transport;
  }

  /** Returns a place to the dispatcher at an address. */
  add(address: string, place: ReturnedPlace): void {
    this.#batchFor(address).returned.push(place);
  }

  /** Tells the dispatcher at an address that a call no longer needs a place. */
  withdraw(address: string, request: RequestId): void {
    this.#batchFor(address).withdrawn.push(request);
  }

  /** Sends the batch for an address; also called before another message is sent there. */
  flush(address: string): void {
    const batch = this.#batches.get(address);
    if (!batch) return;
    this.#batches.delete(address);
    const { returned, withdrawn } = batch;
    this.#transport.send(address, {
      type: "returnPlaces",
      returned,
      ...(withdrawn.length === 0 ? {} : { withdrawn }),
    });
  }

  #batchFor(address: string): ReturnBatch {
    this.#scheduleFlush();
    const known = this.#batches.get(address);
    if (known) return known;
    const created = { returned: [], withdrawn: [] };
    this.#batches.set(address, created);
    return created;
  }

  #scheduleFlush(): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    this.#clock.schedule(BATCH_DELAY_MS, () => {
      this.#isFlushScheduled = false;
      for (const address of [...this.#batches.keys()]) this.flush(address);
    });
  }
}
