/** An average that weights its first values equally, and becomes an exponential moving average after that. Pure. */
export class MovingAverage {
  readonly #minWeight: number;
  #value: number | undefined;
  #count = 0;

  /** @param minWeight weight of the newest value once there are many values, from 0 to 1 */
  constructor(minWeight: number) {
    this.#minWeight = minWeight;
  }

  /** The average; undefined while no value has been added. */
  get value(): number | undefined {
    return this.#value;
  }

  /** How many values have been added. */
  get count(): number {
    return this.#count;
  }

  /** Adds a value to the average. */
  add(value: number): void {
    this.#count += 1;
    const weight = Math.max(this.#minWeight, 1 / this.#count);
    const last = this.#value ?? value;
    this.#value = last + (value - last) * weight;
  }
}
