/**
 * What gateways tell each other of themselves: heartbeats, and digests of relays (heartbeat-plan.ts). Answers who is
 * alive, who may own partitions, and whom callers may use. Addresses come from the settings, the store and others.
 */

import type { OwnerCandidate } from "../../coordination/partition-ownership/index.ts";
import { repeat } from "../../runtime/clock.ts";
import type { DisconnectReason } from "../../runtime/disconnect-reason.ts";
import type { Sender, Transport } from "../../runtime/transport.ts";
import type { Headroom } from "../../scheduling/caller-spread/headroom.ts";
import { EMPTY_REPORT } from "../../scheduling/runner-board/empty-report.ts";
import type { NodeReport } from "../../scheduling/runner-board/node-report.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type {
  GatewayMessage,
  GatewayState,
  Heartbeat,
  MemberDigest,
  MemberStatus,
} from "../gateway-messages.ts";
import type { StoreRelay } from "../store/relayed-row-store.ts";
import type { StoreHealth } from "../store-health.ts";
import { CallerDirectory, type ReadyGateway } from "./caller-directory.ts";
import { DigestSender } from "./digest-sender.ts";
import { DigestSequences } from "./digest-sequences.ts";
import type { DispatcherCandidate } from "./dispatcher-candidate.ts";
import { planHeartbeats } from "./heartbeat-plan.ts";
import type { HeartbeatPlan } from "./heartbeat-targets.ts";
import { gatewayNameOf } from "./instance-name.ts";
import { isSameStatus } from "./is-same-status.ts";
import type { Member } from "./member.ts";
import { MemberView } from "./member-view.ts";
import { supportsFeature } from "./protocol-feature.ts";
import { PROTOCOL_VERSION } from "./protocol-version.ts";
import { zoneLoadSource } from "./zone-load-source.ts";

/** Heartbeats to addresses where nobody is alive are sent only every so many times. */
const TICKS_PER_PROBE = 4;
/** Known addresses travel with every so many heartbeats. */
const TICKS_PER_PEER_LIST = 8;
/**
 * So often after its start a gateway sends heartbeats to the seeds as well: they hear of every start, and tell it of all
 * others before it knows the relays of its zone.
 */
const SEED_CONTACT_TICKS = 6;
/** Most addresses in one answer of the directory. */
const MAX_ADDRESSES = 64;
/** With fewer live gateways in a caller's zone than this, it is given all. */
const MIN_ZONE_GATEWAYS = 2;

/** What a gateway says of itself. */
export interface SelfReport {
  readonly state: GatewayState;
  /** Whether its own connections to the store work. */
  readonly storeDirect: boolean;
  readonly owned: readonly (readonly [number, number])[];
  readonly runners: NodeReport;
  /** Left out where callers are told of all gateways alike. */
  readonly headroom?: Headroom | undefined;
}

type MemberTransport = Transport<GatewayMessage> & { disconnect(address: string): void };

/** See the module's comment. */
export class MemberDirectory {
  readonly #context: GatewayContext;
  readonly #transport: MemberTransport;
  readonly #storeHealth: StoreHealth;
  readonly #selfHash: number;
  readonly #startedMs: number;
  readonly #view: MemberView;
  readonly #digestSender: DigestSender;
  readonly #callerDirectory: CallerDirectory;
  readonly #digestSequences = new DigestSequences();
  readonly #knownAddresses = new Set<string>();
  readonly #seeds: readonly string[];
  /** Addresses where nothing listens. */
  readonly #refusingAddresses = new Set<string>();
  #lastStatus: MemberStatus | undefined;
  #ticks = 0;
  #stop: () => void = () => undefined;
  /** What this gateway says of itself. */
  selfReport: () => SelfReport = () => ({
    state: "starting",
    storeDirect: false,
    owned: [],
    runners: EMPTY_REPORT,
  });
  /** Called when a gateway was heard of. */
  onHeard: (member: Member) => void = () => undefined;
  /** Called when a gateway that was alive is no longer. */
  onLost: (member: Member) => void = () => undefined;
  /** Called with the requests at runners of a gateway, or of a zone. */
  onLoads: (source: string, report: NodeReport) => void = () => undefined;
  /** Sums the loads that were last given for some sources. */
  sumLoads: (sources: readonly string[]) => NodeReport = () => EMPTY_REPORT;

  constructor(context: GatewayContext, transport: MemberTransport, health: StoreHealth) {
    this.#context = context;
    this.#transport = transport;
    this.#storeHealth = health;
    this.#view = new MemberView(context, {
      onChanged: () => {
        if (this.#ticks > 0) this.#digestSender.scheduleChanges(() => this.#plan());
      },
      onLost: (member) => {
        this.#transport.disconnect(member.address);
        this.onLost(member);
      },
    });
    this.#startedMs = context.clock.monotonicMs();
    this.#callerDirectory = new CallerDirectory(context);
    this.#digestSender = new DigestSender(context, transport, this.#view, (sources) =>
      this.sumLoads(sources),
    );
    this.#selfHash = context.hash.hash32(context.settings.name);
    this.#seeds = context.settings.seeds.filter((seed) => seed !== transport.self.address);
    this.addKnownAddresses(this.#seeds);
  }

  /** Addresses of gateways that were heard of. */
  get knownAddresses(): readonly string[] {
    return [...this.#knownAddresses];
  }

  start(): void {
    this.tick();
    this.#stop = repeat(this.#context.clock, this.#context.settings.timing.heartbeatMs, () => this.tick());
  }

  stop(): void {
    this.#stop();
  }

  /**
   * Remembers addresses. While few gateways are known, this one makes itself known there at once; where they are many,
   * digests say more about them in fewer messages.
   */
  addKnownAddresses(addresses: readonly string[]): void {
    const added = addresses.filter((address) => this.#remember(address));
    const { directMost } = this.#context.settings.membership;
    if (this.#ticks === 0 || this.#knownAddresses.size >= directMost) return;
    for (const address of added)
      this.#transport.send(address, this.#heartbeat(address, this.selfReport(), true));
  }

  /** Sends heartbeats and digests now, and detects peers that have timed out. */
  tick(): void {
    this.#ticks += 1;
    for (const address of this.#view.detectTimeouts()) this.#forget(address);
    const plan = this.#plan();
    const targets = new Set(plan.heartbeatsTo);
    if (this.#contactsSeeds) for (const seed of this.#seeds) targets.add(seed);
    if (this.#ticks % TICKS_PER_PROBE === 1)
      for (const address of this.#addressesToProbe(plan)) targets.add(address);
    const report = this.selfReport();
    for (const address of targets) this.#transport.send(address, this.#heartbeat(address, report));
    this.#digestSender.send(plan);
    this.#notifyRelayedMembers();
  }

  /** Handles a heartbeat. */
  onHeartbeat(heartbeat: Heartbeat, from: Sender): void {
    const { address, instance } = from;
    if (address === this.#transport.self.address) return;
    this.#refusingAddresses.delete(address);
    const isNew = this.#view.memberAt(address)?.instance !== instance;
    const member = this.#view.recordHeartbeat(address, instance, statusOf(heartbeat));
    this.addKnownAddresses([address, ...heartbeat.peers]);
    if (isNew || heartbeat.missedDigest) this.#digestSender.reset(address);
    if (isNew) {
      this.#transport.send(address, this.#heartbeat(address, this.selfReport(), true));
    }
    this.onHeard(member);
    this.onLoads(instance, heartbeat.runners);
  }

  /** Handles a relay's digest. */
  onDigest(digest: MemberDigest, from: Sender): void {
    if (!this.#digestSequences.accept(from.address, digest)) return;
    const self = this.#transport.self.address;
    const changed = digest.changed.filter(({ address }) => address !== self);
    for (const { address } of changed) this.#remember(address);
    for (const member of this.#view.applyDigest(from.address, { ...digest, changed })) this.onHeard(member);
    for (const [zone, report] of digest.loads) this.onLoads(zoneLoadSource(zone), report);
  }

  /** The connection to an address has ended. */
  onDisconnected(address: string, reason: DisconnectReason): void {
    this.#digestSender.reset(address);
    if (reason === "refused") {
      this.#refusingAddresses.add(address);
      this.#view.recordRefusedConnection(address);
    } else if (reason === "unanswered" && this.#contactsSeeds && this.#seeds.includes(address)) {
      // Its machine may be starting like this one: what it tells of all others is worth asking again before the next tick.
      this.#transport.send(address, this.#heartbeat(address, this.selfReport()));
    }
  }

  /** Whether connections to an address were refused, and nobody was heard from there since. */
  refusesConnections(address: string): boolean {
    return this.#refusingAddresses.has(address);
  }

  /** Addresses of the gateways that are alive. */
  liveAddresses(): string[] {
    return this.#view.alive().map(({ address }) => address);
  }

  /**
   * Whether every address that is known has been heard from or refuses connections, and nobody is still starting: nothing
   * more is to be learned by waiting for others.
   */
  get hasSettled(): boolean {
    if (this.#knownAddresses.size === 0) return false;
    return [...this.#knownAddresses].every((address) => {
      if (this.refusesConnections(address)) return true;
      const member = this.#view.memberAt(address);
      return member !== undefined && this.#view.isAlive(member) && member.status.state !== "starting";
    });
  }

  /** Whether at least half of the gateways that were heard of, this one included, are alive. */
  get hearsMost(): boolean {
    return 2 * (this.#view.alive().length + 1) >= this.#knownAddresses.size + 1;
  }

  /**
   * Part of the gateways that this one reaches, itself among them: of those that were heard of, but for those whose
   * address refuses connections, so that nothing runs there.
   */
  get reachedShare(): number {
    const reachableCount = this.#knownAddresses.size - this.#refusingAddresses.size + 1;
    return Math.min(1, (this.#view.alive().length + 1) / Math.max(1, reachableCount));
  }

  /**
   * By when the process of an incarnation had ended, since its machine runs another one, in ms of the monotonic clock;
   * undefined where that is not known.
   */
  endedByMs(instance: string): number | undefined {
    const name = gatewayNameOf(instance);
    if (name === this.#context.settings.name)
      return instance === this.#context.instance ? undefined : this.#startedMs;
    const successor = this.#view.aliveByName(name);
    return successor && successor.instance !== instance ? successor.heardSinceMs : undefined;
  }

  /** How many other gateways are alive. */
  get aliveCount(): number {
    return this.#view.alive().length;
  }

  /** The address of a live incarnation. */
  addressOf(instance: string): string | undefined {
    if (instance === this.#context.instance) return this.#transport.self.address;
    return this.#view.aliveIncarnation(instance)?.address;
  }

  /**
   * Whether an incarnation is alive and may go on owning partitions. One that stops hands them over first: it says so by
   * naming them no more, and what it hands over would be lost if somebody took them before. One that does not reach the store may, until this
   * gateway has reached it for long enough: after an outage the others have not all noticed yet, or not yet said so.
   */
  mayOwn(instance: string): boolean {
    const status = this.#view.aliveIncarnation(instance)?.status;
    if (status === undefined || status.state === "starting") return false;
    return (
      status.storeReachable || this.#storeHealth.reachableForMs < this.#context.settings.timing.storeSettleMs
    );
  }

  /** Live gateways whose own connections to the store work: those of this zone first, in an order that varies. */
  storeRelays(): StoreRelay[] {
    const { random, settings } = this.#context;
    const direct = this.#view.alive().filter(({ status }) => status.storeDirect);
    const start = random.below(Math.max(1, direct.length));
    const rotated = [...direct.slice(start), ...direct.slice(0, start)];
    const near = rotated.filter(({ status }) => status.zone === settings.zone);
    const far = rotated.filter(({ status }) => status.zone !== settings.zone);
    return [...near, ...far].map(({ instance, address }) => ({ instance, address }));
  }

  /** The gateways that may own partitions, this one included if it may. */
  ownerCandidates(): OwnerCandidate[] {
    const candidates = this.#view
      .alive()
      .filter(({ status }) => isEligible(status))
      .map(({ status, hash }) => ({ name: status.name, hash }));
    if (isEligible(this.#status(this.selfReport())))
      candidates.push({ name: this.#context.settings.name, hash: this.#selfHash });
    return candidates;
  }

  /** The gateways that may hand out places: the store is not needed for it, a build that knows of it is. */
  dispatcherCandidates(): DispatcherCandidate[] {
    const candidates = this.#view
      .alive()
      .filter(({ status }) => status.state === "ready" && supportsFeature(status, "places"))
      .map(({ status, hash, instance, address }) => ({ name: status.name, hash, instance, address }));
    if (this.selfReport().state === "ready") candidates.push(this.#ownCandidate);
    return candidates;
  }

  get #ownCandidate(): DispatcherCandidate {
    const { settings, instance } = this.#context;
    return { name: settings.name, hash: this.#selfHash, instance, address: this.#transport.self.address };
  }

  /** Addresses for a caller: live and ready gateways, those of its zone first, as the settings say. */
  callerAddresses(zone: string | undefined): string[] {
    const ready = this.#readyGateways();
    if (this.#context.settings.balance.byHeadroom) return this.#callerDirectory.addresses(ready, zone);
    const near = ready.filter((gateway) => gateway.zone === zone);
    const chosen = near.length >= MIN_ZONE_GATEWAYS ? near : ready;
    return chosen.slice(0, MAX_ADDRESSES).map((gateway) => gateway.address);
  }

  #readyGateways(): ReadyGateway[] {
    const { settings, clock } = this.#context;
    const nowMs = clock.monotonicMs();
    const ready = this.#view
      .alive()
      .filter(({ status }) => status.state === "ready")
      .map(({ status: { zone, callerAddress, headroom }, heardSinceMs }) => {
        return { zone, address: callerAddress, headroom, knownForMs: nowMs - heardSinceMs };
      });
    const { state, headroom } = this.selfReport();
    if (state === "ready") {
      const { zone, listen } = settings;
      ready.push({ zone, address: listen.callers, headroom, knownForMs: nowMs - this.#startedMs });
    }
    return ready;
  }

  get #contactsSeeds(): boolean {
    return this.#ticks <= SEED_CONTACT_TICKS;
  }

  /** Returns whether the address is another gateway's and was not known. */
  #remember(address: string): boolean {
    if (address === this.#transport.self.address || this.#knownAddresses.has(address)) return false;
    this.#knownAddresses.add(address);
    return true;
  }

  /** Digests name only what has changed; listeners hear of every gateway again and again, as with heartbeats. */
  #notifyRelayedMembers(): void {
    for (const member of this.#view.alive()) if (!this.#view.isHeard(member.address)) this.onHeard(member);
  }

  #forget(address: string): void {
    this.#refusingAddresses.delete(address);
    this.#knownAddresses.delete(address);
    this.#digestSequences.forget(address);
    this.#digestSender.reset(address);
  }

  #plan(): HeartbeatPlan {
    const { settings } = this.#context;
    return planHeartbeats({
      self: { address: this.#transport.self.address, zone: settings.zone, hash: this.#selfHash },
      others: this.#view.alive().map(({ address, status, hash }) => ({ address, zone: status.zone, hash })),
      isHeard: (address) => this.#view.isHeard(address),
      directMost: settings.membership.directMost,
    });
  }

  /**
   * Whether this gateway looks for others that nobody hears. With relays, only they do, and those that no relay speaks
   * to.
   */
  get looksForOthers(): boolean {
    return this.#looksForOthers(this.#plan());
  }

  #looksForOthers(plan: HeartbeatPlan): boolean {
    const isIsolated = !plan.heartbeatsTo.some((address) => this.#view.isHeard(address));
    return !plan.usesRelays || plan.isRelay || isIsolated;
  }

  #addressesToProbe(plan: HeartbeatPlan): string[] {
    if (!this.#looksForOthers(plan)) return [];
    return [...this.#knownAddresses].filter((address) => {
      const member = this.#view.memberAt(address);
      return !member || !this.#view.isAlive(member);
    });
  }

  #status({ state, storeDirect, owned, headroom }: SelfReport): MemberStatus {
    const { name, zone, listen } = this.#context.settings;
    const changing = { state, storeReachable: this.#storeHealth.reachable, storeDirect, owned };
    const last = this.#lastStatus;
    if (last && isSameStatus(last, changing) && last.headroom === headroom) return last;
    const revision = (last?.revision ?? 0) + 1;
    const fixed = { name, zone, callerAddress: listen.callers, protocol: PROTOCOL_VERSION };
    const headroomField = headroom === undefined ? {} : { headroom };
    this.#lastStatus = { revision, ...fixed, ...changing, ...headroomField };
    return this.#lastStatus;
  }

  #heartbeat(
    receiver: string,
    report: SelfReport,
    withPeers = this.#ticks % TICKS_PER_PEER_LIST === 1,
  ): Heartbeat {
    const { runners } = report;
    const peers = withPeers ? [...this.#knownAddresses] : [];
    const missedDigest = this.#digestSequences.hasMissedDigest(receiver);
    return { type: "heartbeat", ...this.#status(report), runners, peers, missedDigest };
  }
}

/** Fields of newer builds are kept, so that relays of this build pass them on. */
function statusOf({ type, runners, peers, missedDigest, ...status }: Heartbeat): MemberStatus {
  return status;
}

function isEligible(status: Pick<MemberStatus, "state" | "storeReachable">): boolean {
  return status.state === "ready" && status.storeReachable;
}
