/** Looks at what this gateway can take, and notes each change of it. */
import { repeat } from "../../runtime/clock.ts";
import type { GatewayPressure } from "../../scheduling/caller-spread/gateway-pressure.ts";
import type { Headroom } from "../../scheduling/caller-spread/headroom.ts";
import { HeadroomControl } from "../../scheduling/caller-spread/headroom-control.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { PauseDetector } from "../pause-detector.ts";
import { roundedShare } from "../telemetry/rounded-share.ts";
import { ProcessPressure } from "./process-pressure.ts";

const LOOK_MS = 500;
/** Longest time between two looks of a process that runs, if slowly, in ms. */
const STANDSTILL_MS = 1_500;

/** See the module's comment. */
export class HeadroomWatch {
  readonly #context: GatewayContext;
  readonly #callsInProgress: () => number;
  readonly #pressure = new ProcessPressure();
  readonly #control = new HeadroomControl();
  readonly #standstill = new PauseDetector(STANDSTILL_MS);
  #stop: () => void = () => undefined;

  constructor(context: GatewayContext, callsInProgress: () => number) {
    this.#context = context;
    this.#callsInProgress = callsInProgress;
  }

  /** What this gateway can take. */
  get headroom(): Headroom {
    return this.#control.headroom;
  }

  start(): void {
    this.#stop = repeat(this.#context.clock, LOOK_MS, () => this.#look());
  }

  stop(): void {
    this.#stop();
  }

  #look(): void {
    const nowMs = this.#context.clock.monotonicMs();
    const stoodStill = this.#standstill.detectPause(nowMs);
    const pressure = { ...this.#pressure.look(this.#callsInProgress()), stoodStill };
    const before = this.headroom;
    this.#control.look(pressure, nowMs);
    if (this.headroom !== before) this.#note(pressure);
  }

  #note({ busy, memory, calls, stoodStill }: GatewayPressure): void {
    const shares = { busy: roundedShare(busy), memory: roundedShare(memory), calls: roundedShare(calls) };
    this.#context.log.info({ headroom: this.headroom, ...shares, stoodStill }, "headroom changed");
  }
}
