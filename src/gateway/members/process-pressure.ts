/** How near this process is to what it can do. */
import { totalmem } from "node:os";
import { type EventLoopUtilization, performance } from "node:perf_hooks";
import type { GatewayPressure } from "../../scheduling/caller-spread/gateway-pressure.ts";

/** Memory that a call in progress may need, in bytes: its request and history, and what a slow reader leaves unread. */
const MEMORY_PER_CALL_BYTES = 262_144;
/** Memory that a gateway without calls uses, in bytes. */
const IDLE_MEMORY_BYTES = 75_000_000;
/** How often the memory in use is read, in looks: it changes slowly, and reading it takes system calls. */
const SAMPLES_PER_MEMORY_READ = 4;

/** See the module's comment. */
export class ProcessPressure {
  readonly #limitBytes = memoryLimitBytes();
  #utilization: EventLoopUtilization = performance.eventLoopUtilization();
  #memory = 0;
  #samples = 0;

  /** Since the look before. */
  sample(callsInProgress: number): Omit<GatewayPressure, "stoodStill"> {
    const before = this.#utilization;
    this.#utilization = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(this.#utilization, before);
    if (this.#samples % SAMPLES_PER_MEMORY_READ === 0)
      this.#memory = process.memoryUsage.rss() / this.#limitBytes;
    this.#samples += 1;
    const maxCalls = Math.max(1, (this.#limitBytes - IDLE_MEMORY_BYTES) / MEMORY_PER_CALL_BYTES);
    return { busy: utilization, memory: this.#memory, calls: callsInProgress / maxCalls };
  }
}

/** That of the process's group where there is one, or of the machine. */
function memoryLimitBytes(): number {
  const limit = process.constrainedMemory() ?? 0;
  return limit > 0 ? Math.min(limit, totalmem()) : totalmem();
}
