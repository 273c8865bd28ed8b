interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}

/** Virtual time for emulations: a binary heap that runs events by time, and events of equal time as scheduled. */
export class EventQueue {
  readonly #heap: Event[] = [];
  #nowMs = 0;
  #order = 0;

  /** The current virtual time. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /** Runs `action` after a delay. */
  after(delayMs: number, action: () => void): void {
    this.#order += 1;
    this.#push({ atMs: this.#nowMs + Math.max(0, delayMs), order: this.#order, action });
  }

  /** Runs events until none is left or `endMs` has passed. */
  run(endMs: number): void {
    for (let event = this.#pop(); event; event = this.#pop()) {
      if (event.atMs > endMs) return;
      this.#nowMs = event.atMs;
      event.action();
    }
  }

  #push(event: Event): void {
    const heap = this.#heap;
    heap.push(event);
    let child = heap.length - 1;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if (!isBefore(heap[child], heap[parent])) return;
      [heap[child], heap[parent]] = [heap[parent], heap[child]];
      child = parent;
    }
  }

  #pop(): Event | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (!first || !last || heap.length === 0) return first;
    heap[0] = last;
    for (let parent = 0; ; ) {
      const left = parent * 2 + 1;
      const right = left + 1;
      let least = parent;
      if (left < heap.length && isBefore(heap[left], heap[least])) least = left;
      if (right < heap.length && isBefore(heap[right], heap[least])) least = right;
      if (least === parent) return first;
      [heap[parent], heap[least]] = [heap[least], heap[parent]];
      parent = least;
    }
  }
}

function isBefore(left: Event, right: Event): boolean {
  return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
}
