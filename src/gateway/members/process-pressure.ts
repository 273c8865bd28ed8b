/** Measures how close this process is to its limits of CPU time, memory and calls. */
import { totalmem } from "node:os";
import { type EventLoopUtilization, performance } from "node:perf_hooks";
import type { GatewayPressure } from "../../scheduling/caller-spread/gateway-pressure.ts";

/** Memory that a call in progress may need, in bytes: its request, its history, and output that a slow reader has not read. */
const MEMORY_PER_CALL_BYTES = 262_144;
/** Memory use of a gateway without calls, in bytes. */
const IDLE_MEMORY_BYTES = 75_000_000;
/** Number of samples per reading of the memory use, which changes slowly and takes system calls to read. */
const SAMPLES_PER_MEMORY_READ = 4;

/** Samples the pressure on this process. */
export class ProcessPressure {
  readonly #limitBytes = memoryLimitBytes();
  #utilization: EventLoopUtilization = performance.eventLoopUtilization();
  /** Memory in use as a fraction of the limit. */
  #memory = 0;
  #samples = 0;

  /** Returns the pressure since the previous sample. */
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

/** Returns the memory limit of the process's control group if there is one, else the machine's memory. */
function memoryLimitBytes(): number {
  const limit = process.constrainedMemory() ?? 0;
  return limit > 0 ? Math.min(limit, totalmem()) : totalmem();
}
