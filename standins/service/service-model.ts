/** A request that the service received. */
export interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly callId: string;
  readonly idempotencyKey: string;
}

/** The service's response. */
export interface ServiceReply {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

const OK = 200;

/**
 * A payments or payroll service that records every request it executes, in the order of arrival, so that tests can
 * detect a deposit or charge that was executed twice. It ignores idempotency keys, because the scheduler guarantees
 * that a request arrives only once.
 */
export class ServiceModel {
  readonly #ledger: ServiceCall[] = [];

  /** Every request executed, in order of arrival. */
  get ledger(): readonly ServiceCall[] {
    return this.#ledger;
  }

  /** Executes a request and records it. */
  execute(call: ServiceCall): ServiceReply {
    this.#ledger.push(call);
    const receipt = { receipt: this.#ledger.length, method: call.method, path: call.path };
    return { status: OK, contentType: "application/json", body: JSON.stringify(receipt) };
  }
}
