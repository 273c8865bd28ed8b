/** An average in which each value has the same weight at first, and the newest ones count more later on. Pure. */
export class MovingAverage {
  readonly #minWeight: number;
  #value: number | undefined;
  #count = 0;

  /** @param minWeight weight of the newest value once there are many, 0 to 1 */
  constructor(minWeight: number) {
    this.#minWeight = minWeight;
  }

  /** Undefined while there is no value. */
  get value(): number | undefined {
    return this.#value;
  }

  /** How many values it is made of. */
  get count(): number {
    return this.#count;
  }

  /** Takes in a value. */
  add(value: number): void {
    this.#count += 1;
    const weight = Math.max(this.#minWeight, 1 / this.#count);
    const last = this.#value ?? value;
    this.#value = last + (value - last) * weight;
  }
}
