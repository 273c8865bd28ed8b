/** Samples the load of this process, derives the gateway's headroom from it, and logs each change of the headroom. */
import { repeat } from "../../runtime/clock.ts";
import type { GatewayPressure } from "../../scheduling/caller-spread/gateway-pressure.ts";
import type { Headroom } from "../../scheduling/caller-spread/headroom.ts";
import { HeadroomController } from "../../scheduling/caller-spread/headroom-controller.ts";
import type { GatewayContext } from "../gateway-context.ts";
import { PauseDetector } from "../pause-detector.ts";
import { roundedShare } from "../telemetry/rounded-share.ts";
import { ProcessPressure } from "./process-pressure.ts";

const SAMPLE_INTERVAL_MS = 500;
/** A longer time between two samples, in ms, means that the process was paused and did not just run slowly. */
const MAX_SAMPLE_GAP_MS = 1_500;

/** Keeps the gateway's headroom up to date. */
export class HeadroomMonitor {
  readonly #context: GatewayContext;
  readonly #callsInProgress: () => number;
  readonly #pressure = new ProcessPressure();
  readonly #control = new HeadroomController();
  readonly #pauseDetector = new PauseDetector(MAX_SAMPLE_GAP_MS);
  #stop: () => void = () => undefined;

  constructor(context: GatewayContext, callsInProgress: () => number) {
    this.#context = context;
    this.#callsInProgress = callsInProgress;
  }

  /** The current headroom: the part of its usual callers that this gateway can take, in steps. */
  get headroom(): Headroom {
    return this.#control.headroom;
  }

  start(): void {
    this.#stop = repeat(this.#context.clock, SAMPLE_INTERVAL_MS, () => this.#sample());
  }

  stop(): void {
    this.#stop();
  }

  #sample(): void {
    const nowMs = this.#context.clock.monotonicMs();
    const stoodStill = this.#pauseDetector.detectPause(nowMs);
    const pressure = { ...this.#pressure.sample(this.#callsInProgress()), stoodStill };
    const before = this.headroom;
    this.#control.update(pressure, nowMs);
    if (this.headroom !== before) this.#logChange(pressure);
  }

  #logChange({ busy, memory, calls, stoodStill }: GatewayPressure): void {
    const shares = { busy: roundedShare(busy), memory: roundedShare(memory), calls: roundedShare(calls) };
    this.#context.log.info({ headroom: this.headroom, ...shares, stoodStill }, "headroom changed");
  }
}
