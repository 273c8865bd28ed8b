import type { ReleaseProgram, ReleaseSlot, RequestSlot, RunnerLoad } from "../../messages/slot-messages.ts";
import type { EngineClient } from "../../ports/engine/engine-client.ts";
import { repeat } from "../../runtime/clock.ts";
import type { ConfigurationService } from "../configuration/configuration-service.ts";
import type { NodeContext } from "../node-context.ts";
import type { ShardHost } from "../shard-host.ts";
import type { ShardReplica } from "../shard-replica.ts";
import type { MachineDirectory } from "./machine-directory.ts";
import type { RunnerDirectory } from "./runner-directory.ts";
import { RunnerHome, type RunnerHomePort } from "./runner-home.ts";

/** Number of nodes to which a change of load is announced. In a small cluster these are all nodes. */
const ANNOUNCE_FANOUT = 8;

/** The homes of all runners whose shard this node leads. */
export class RunnerHomes implements RunnerHomePort {
  readonly #context: NodeContext;
  readonly #shards: ShardHost;
  readonly #machines: MachineDirectory;
  readonly #directory: RunnerDirectory;
  readonly #engine: EngineClient;
  readonly #configuration: ConfigurationService;
  readonly #homes = new Map<string, RunnerHome>();
  readonly #stops: (() => void)[] = [];
  #announcePending = false;

  constructor(
    context: NodeContext,
    shards: ShardHost,
    machines: MachineDirectory,
    directory: RunnerDirectory,
    engine: EngineClient,
    configuration: ConfigurationService,
  ) {
    this.#context = context;
    this.#shards = shards;
    this.#machines = machines;
    this.#directory = directory;
    this.#engine = engine;
    this.#configuration = configuration;
    shards.observe({ onLeadershipChanged: (replica) => this.#onLeadershipChanged(replica) });
  }

  /** Starts the homes' timers. */
  start(): void {
    const { clock, settings } = this.#context;
    const { tickMs, loadReportMs, announceMs, machineListMs } = settings.timing;
    this.#stops.push(repeat(clock, tickMs, () => this.#tick()));
    this.#stops.push(repeat(clock, loadReportMs, () => this.#reconcile()));
    this.#stops.push(repeat(clock, announceMs, () => this.#announceIfPending()));
    this.#stops.push(repeat(clock, machineListMs * 2, () => this.onLoadChanged()));
  }

  /** Stops the homes' timers. */
  stop(): void {
    for (const stop of this.#stops) stop();
  }

  /** Returns all homes on this node. */
  all(): IterableIterator<RunnerHome> {
    return this.#homes.values();
  }

  /** Creates and removes homes to match the machine list and the shards that this node leads. */
  sync(): void {
    const listed = this.#directory.runners();
    for (const machine of listed) {
      const replica = this.#shards.get(this.#shardOf(machine.name));
      const home = this.#homes.get(machine.name);
      if (!replica?.leads) this.#homes.delete(machine.name);
      else if (home && home.machine.incarnation === machine.incarnation) home.updateMachine(machine);
      else this.#homes.set(machine.name, this.#createHome(machine, replica));
    }
    for (const name of this.#homes.keys()) {
      if (!listed.some((machine) => machine.name === name)) this.#homes.delete(name);
    }
  }

  /** Handles a shard leader's request for a slot. */
  onRequestSlot(message: RequestSlot, from: string): void {
    const home = this.#homes.get(message.runner);
    if (home) return home.onRequest(message, from);
    this.#context.transport.send(from, {
      type: "slotRefused",
      runner: message.runner,
      call: message.request.call,
      attempt: message.request.attempt,
      reason: "not-home",
      retryAfterMs: 0,
      load: [],
    });
  }

  /** Handles the release of a slot. */
  onReleaseSlot({ runner, call, attempt }: ReleaseSlot): void {
    this.#homes.get(runner)?.onRelease(call, attempt);
  }

  /** Handles the end of a program: orders the engine to free the memory that it holds for the program. */
  onReleaseProgram({ runner, program }: ReleaseProgram): void {
    const home = this.#homes.get(runner);
    if (home) void this.releaseHold(home, program);
  }

  /** Orders an engine to free the memory that it holds for a program. If this fails, the sweep retries it. */
  async releaseHold(home: RunnerHome, program: string): Promise<boolean> {
    try {
      return await this.#engine.order(home.machine.address, { type: "release", program }, home.fencingToken);
    } catch {
      return false;
    }
  }

  isListFresh(): boolean {
    return this.#machines.ageMs() <= this.#context.settings.timing.machineListStaleMs;
  }

  isDrainedByOperator(runner: string): boolean {
    return this.#configuration.isRunnerDrained(runner);
  }

  currentLoad(): readonly RunnerLoad[] {
    return [...this.#homes.values()].map((home) => home.load);
  }

  onLoadChanged(): void {
    this.#announcePending = true;
  }

  #shardOf(runner: string): number {
    return this.#shards.shardOfKey(`runner:${runner}`);
  }

  #onLeadershipChanged(replica: ShardReplica): void {
    if (!replica.leads) {
      for (const name of this.#homes.keys()) {
        if (this.#shardOf(name) === replica.shard) this.#homes.delete(name);
      }
    }
    this.sync();
    this.onLoadChanged();
    this.#announceIfPending();
  }

  #createHome(machine: RunnerHome["machine"], replica: ShardReplica): RunnerHome {
    const home = new RunnerHome(this.#context, this.#engine, this, machine, replica.term);
    void home.reconcile();
    return home;
  }

  #tick(): void {
    for (const home of this.#homes.values()) home.tick();
  }

  #reconcile(): void {
    for (const home of this.#homes.values()) void home.reconcile();
  }

  #announceIfPending(): void {
    if (!this.#announcePending || this.#homes.size === 0) return;
    this.#announcePending = false;
    const load = this.currentLoad();
    this.#directory.recordLoads(this.#context.self.address, load);
    for (const address of this.#machines.randomPeers(ANNOUNCE_FANOUT)) {
      this.#context.transport.send(address, { type: "announceRunners", load });
    }
  }
}
