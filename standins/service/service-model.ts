/** A request that reached the service. */
export interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly callId: string;
  readonly idempotencyKey: string;
}

/** An answer of the service. */
export interface ServiceReply {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

const OK = 200;

/**
 * A payments or payroll service that writes down every request it carries out, in the order of arrival,
 * so that a deposit or charge that ran twice can be seen. It does not look at idempotency keys: that a
 * request arrives once is the scheduler's promise.
 */
export class ServiceModel {
  readonly #ledger: ServiceCall[] = [];

  /** Every request carried out. */
  get ledger(): readonly ServiceCall[] {
    return this.#ledger;
  }

  /** Carries a request out. */
  execute(call: ServiceCall): ServiceReply {
    this.#ledger.push(call);
    const receipt = { receipt: this.#ledger.length, method: call.method, path: call.path };
    return { status: OK, contentType: "application/json", body: JSON.stringify(receipt) };
  }
}
