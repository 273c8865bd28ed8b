/**
 * One node: accepts callers' requests, leads or follows shards, grants the slots of runners and handles operators'
 * requests. The daemon only creates the components and dispatches each message to the component that handles it. The
 * same code runs in the simulation.
 */

import type { Message } from "../messages/message.ts";
import type { ClusterView } from "../messages/rpc-messages.ts";
import { delay, repeat } from "../runtime/clock.ts";
import { RpcEndpoint } from "../runtime/rpc.ts";
import { ShardRouter } from "../runtime/shard-router.ts";
import type { Sender } from "../runtime/transport.ts";
import { ShardArchive } from "./archive/shard-archive.ts";
import { ShardArchiver } from "./archive/shard-archiver.ts";
import { ShardRecovery } from "./archive/shard-recovery.ts";
import { BudgetService } from "./budgets/budget-service.ts";
import { CallService } from "./calls/call-service.ts";
import { CompletionExecutor } from "./calls/completion-executor.ts";
import { DecisionBuilder } from "./calls/decision-builder.ts";
import { ServiceCallExecutor } from "./calls/service-call-executor.ts";
import { SlotClient } from "./calls/slot-client.ts";
import { StalledCallLog } from "./calls/stalled-call-log.ts";
import { ConfigurationService } from "./configuration/configuration-service.ts";
import { ConfigurationTable } from "./configuration/configuration-table.ts";
import { Ingress } from "./ingress/ingress.ts";
import type { NodeContext } from "./node-context.ts";
import type { NodePlatform } from "./node-platform.ts";
import { ProgramService } from "./programs/program-service.ts";
import { HoldSweeper } from "./runners/hold-sweeper.ts";
import { MachineDirectory } from "./runners/machine-directory.ts";
import { RunnerDirectory } from "./runners/runner-directory.ts";
import { RunnerHomes } from "./runners/runner-homes.ts";
import { ShardCommitter } from "./shard-committer.ts";
import { ShardHost } from "./shard-host.ts";
import { ShardPlacementManager } from "./shard-placement-manager.ts";

const DRAIN_POLL_MS = 50;
/** Interval between reports of calls that make no progress, in ms. */
const STALLED_CALL_REPORT_MS = 5_000;
/** Number of nodes to which a new configuration is announced directly. */
const CONFIGURATION_FANOUT = 4;

/** Creates, starts and stops the components of a node, and dispatches messages to them. */
export class NodeDaemon {
  readonly context: NodeContext;
  readonly shards: ShardHost;
  readonly configuration: ConfigurationService;
  readonly calls: CallService;
  readonly homes: RunnerHomes;
  readonly ingress: Ingress;
  readonly #rpc: RpcEndpoint;
  readonly #machines: MachineDirectory;
  readonly #budgets: BudgetService;
  readonly #directory: RunnerDirectory;
  readonly #placementManager: ShardPlacementManager;
  readonly #programs: ProgramService;
  readonly #broker: SlotClient;
  readonly #sweeper: HoldSweeper;
  readonly #archiver: ShardArchiver;
  readonly #stalledCalls: StalledCallLog;
  #stopTicking: () => void = () => undefined;
  #stopReports: () => void = () => undefined;
  #drainPromise: Promise<void> | undefined;
  /** Called when an operator asks the node to leave. */
  onDrainRequested: () => void = () => undefined;

  constructor(context: NodeContext, platform: NodePlatform) {
    this.context = context;
    const { transport, clock, random } = context;
    const rpc = new RpcEndpoint(transport, clock, random);
    const shards = new ShardHost(context);
    const machines = new MachineDirectory(context, platform.machineList, rpc);
    const directory = new RunnerDirectory(machines);
    const router = new ShardRouter(rpc, clock, random, () => machines.nodes().map((node) => node.address));
    const committer = new ShardCommitter(shards, router, rpc);
    const configuration = new ConfigurationService(
      context,
      rpc,
      new ConfigurationTable(platform.table, clock),
    );
    const decisions = new DecisionBuilder(context, configuration);
    const broker = new SlotClient(context, directory);
    const homes = new RunnerHomes(context, shards, machines, directory, platform.engine, configuration);
    const budgets = new BudgetService(context, shards, configuration, router, committer, rpc);
    const completions = new CompletionExecutor(
      context,
      committer,
      directory,
      broker,
      platform.engine,
      decisions,
      budgets,
    );
    const services = new ServiceCallExecutor(context, committer, directory, platform.service, decisions);
    const parts = {
      context,
      shards,
      configuration,
      budgets,
      completions,
      services,
      decisions,
      committer,
      rpc,
    };
    this.#rpc = rpc;
    this.shards = shards;
    this.#machines = machines;
    this.#budgets = budgets;
    this.#directory = directory;
    this.configuration = configuration;
    this.#broker = broker;
    this.homes = homes;
    this.calls = new CallService(parts);
    this.ingress = new Ingress({
      settings: context.settings.ingress,
      clock,
      random,
      hash: context.hash,
      transport,
      router,
      shardCount: context.settings.cluster.shards,
    });
    this.#stalledCalls = new StalledCallLog(context, shards, this.calls, this.ingress);
    this.#programs = new ProgramService(context, shards, configuration, decisions, directory, rpc);
    this.#placementManager = new ShardPlacementManager(context, shards, machines, platform.table);
    const archive = new ShardArchive(platform.objects, context.hash.hash64);
    const { placement } = this.#placementManager;
    this.#archiver = new ShardArchiver(context, shards, archive);
    new ShardRecovery({ context, shards, machines, table: platform.table, archive, placement, rpc });
    this.#sweeper = new HoldSweeper(context, homes, shards, router, platform.engine);
    rpc.handle("readCluster", async () => this.#readCluster());
    rpc.handle("drainNode", async () => this.#requestDrain());
    rpc.handle("setLogLevel", async ({ level }) => {
      context.log.level = level;
      return {};
    });
    machines.onRefreshed = () => homes.sync();
    configuration.nodeCount = () => machines.nodes().length;
    configuration.onNewVersion = (version) => this.#announceConfiguration(version);
    transport.onMessage((message, from, version) => this.#onMessage(message, from, version));
  }

  /** Whether the node can serve requests: it has had the newest configuration, and all shards exist. */
  get ready(): boolean {
    return this.configuration.ready && this.#placementManager.ready;
  }

  /** Returns the addresses of nodes for callers of a zone, those of the same zone first. */
  callerAddresses(zone: string | undefined): string[] {
    return this.#machines.callerAddresses(zone);
  }

  /**
   * Starts all components.
   *
   * @param callersAddress the address at which callers reach the node; omitted if they can't reach it
   */
  start(callersAddress = ""): void {
    const { clock, settings } = this.context;
    this.#machines.callersAddress = callersAddress;
    this.#machines.start();
    this.configuration.start();
    this.#placementManager.start();
    this.#programs.start();
    this.#budgets.start();
    this.calls.start();
    this.homes.start();
    this.#sweeper.start();
    this.#archiver.start();
    this.#stopTicking = repeat(clock, settings.timing.tickMs, () => this.shards.tick());
    this.#stopReports = repeat(clock, STALLED_CALL_REPORT_MS, () => this.#stalledCalls.report());
  }

  /** Stops at once, as if the process had been killed. */
  halt(): void {
    this.#stopTicking();
    this.#stopReports();
    this.#machines.stop();
    this.configuration.stop();
    this.#placementManager.stop();
    this.#programs.stop();
    this.#budgets.stop();
    this.calls.stop();
    this.homes.stop();
    this.#sweeper.stop();
    this.#archiver.stop();
  }

  /** Announces that the node is leaving, so that callers and other nodes switch to other nodes. */
  announceLeaving(): Promise<void> {
    return this.#machines.announceLeaving();
  }

  /** Performs a planned stop: transfers its shards to other nodes, waits for calls in progress and leaves. */
  drain(): Promise<void> {
    this.#drainPromise ??= this.#drain();
    return this.#drainPromise;
  }

  async #drain(): Promise<void> {
    const { clock, settings, log } = this.context;
    log.info({ activeCalls: this.calls.activeCalls }, "draining");
    const deadlineMs = clock.monotonicMs() + settings.timing.drainMs;
    await this.#machines.announceLeaving();
    this.calls.stopAdmitting();
    this.#programs.stopAdmitting();
    while (clock.monotonicMs() < deadlineMs && (this.#hasReplicas() || this.calls.activeCalls > 0)) {
      this.#placementManager.handOverLeadership();
      await delay(clock, DRAIN_POLL_MS);
    }
    log.info({ activeCalls: this.calls.activeCalls }, "drained");
    this.halt();
    await this.context.transport.close();
  }

  /** Returns whether this node is still a voter of any shard. */
  #hasReplicas(): boolean {
    return [...this.shards.all()].some((replica) =>
      replica.membership.voters.some((voter) => voter.instance === this.context.self.instance),
    );
  }

  /** Announces a new configuration to a few nodes. These announce it in turn, so it reaches all nodes in a few hops. */
  #announceConfiguration(version: number): void {
    for (const address of this.#machines.randomPeers(CONFIGURATION_FANOUT)) {
      this.context.transport.send(address, { type: "configurationNews", version });
    }
  }

  async #requestDrain() {
    this.context.clock.schedule(0, () => this.onDrainRequested());
    return {};
  }

  #onMessage(message: Message, from: Sender, configurationVersion: number): void {
    this.configuration.onPeerVersion(configurationVersion, from.address);
    switch (message.type) {
      case "shard":
        return this.shards.onMessage(message);
      case "shardHeartbeats":
        return this.shards.onHeartbeats(message);
      case "shardAcknowledgements":
        return this.shards.onAcknowledgements(message);
      case "submitCall":
        return this.calls.onSubmit(message, from.address);
      case "abandonCall":
        return this.calls.onAbandon(message, from.address);
      case "callAccepted":
      case "callRedirected":
      case "callChunk":
      case "callFinished":
      case "callFailed":
        return this.ingress.onCallEvent(message, from.address);
      case "requestSlot":
        return this.homes.onRequestSlot(message, from.address);
      case "releaseSlot":
        return this.homes.onReleaseSlot(message);
      case "releaseProgram":
        return this.homes.onReleaseProgram(message);
      case "slotGranted":
        return this.#broker.onGranted(message, from.address);
      case "slotQueued":
        return this.#broker.onQueued(message);
      case "slotRefused":
        return this.#broker.onRefused(message, from.address);
      case "machineListNews":
        return this.#machines.onAnnouncement(message.news, from.address);
      case "announceRunners":
        return this.#directory.recordLoads(from.address, message.load);
      case "rpcRequest":
        return void this.#rpc.onRequest(message, from);
      case "rpcResponse":
        return this.#rpc.onResponse(message);
    }
  }

  #readCluster(): ClusterView {
    const pools = new Map(this.#directory.runners().map((machine) => [machine.name, machine.pool]));
    return {
      shardCount: this.context.settings.cluster.shards,
      configurationVersion: this.configuration.version,
      nodes: this.#machines.nodes().map((machine) => ({
        instance: machine.incarnation,
        address: machine.address,
        zone: machine.zone,
        leaving: machine.state === "leaving",
      })),
      shards: [...this.shards.all()].map((replica) => ({
        shard: replica.shard,
        role: replica.role,
        term: replica.term,
        leader: replica.leader?.instance,
        replicas: replica.membership.voters.map((voter) => voter.instance),
        programs: replica.state.programs.size,
      })),
      runners: this.#directory.views().map((view) => ({
        runner: view.runner,
        pool: pools.get(view.runner) ?? "",
        zone: view.zone,
        home: view.home,
        leaving: view.leaving,
        slots: view.slots,
        expectedWaitMs: view.expectedWaitMs,
      })),
    };
  }
}
