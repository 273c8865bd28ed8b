/** How near this process is to what it can do. */
import { totalmem } from "node:os";
import { type EventLoopUtilization, performance } from "node:perf_hooks";
import type { GatewayPressure } from "../../scheduling/caller-spread/gateway-pressure.ts";

/** Memory that a call in progress may need, in bytes: its request and history, and what a slow reader leaves unread. */
const CALL_BYTES = 262_144;
/** Memory that a gateway without calls uses, in bytes. */
const IDLE_BYTES = 75_000_000;
/** How often the memory in use is read, in looks: it changes slowly, and reading it takes system calls. */
const MEMORY_EVERY = 4;

/** See the module's comment. */
export class ProcessPressure {
  readonly #limitBytes = memoryLimitBytes();
  #utilization: EventLoopUtilization = performance.eventLoopUtilization();
  #memory = 0;
  #looks = 0;

  /** Since the look before. */
  look(callsInProgress: number): Omit<GatewayPressure, "stoodStill"> {
    const before = this.#utilization;
    this.#utilization = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(this.#utilization, before);
    if (this.#looks % MEMORY_EVERY === 0) this.#memory = process.memoryUsage.rss() / this.#limitBytes;
    this.#looks += 1;
    const mostCalls = Math.max(1, (this.#limitBytes - IDLE_BYTES) / CALL_BYTES);
    return { busy: utilization, memory: this.#memory, calls: callsInProgress / mostCalls };
  }
}

/** That of the process's group where there is one, or of the machine. */
function memoryLimitBytes(): number {
  const limit = process.constrainedMemory() ?? 0;
  return limit > 0 ? Math.min(limit, totalmem()) : totalmem();
}
