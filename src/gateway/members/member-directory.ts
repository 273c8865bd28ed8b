/**
 * Membership of the gateways. They exchange their status in heartbeats and in the digests of relays (see heartbeat-plan.ts).
 * The directory tells which gateways are alive, which may own partitions, and which callers may use. It learns addresses
 * from the settings, the store and other gateways.
 */

import type { OwnerCandidate } from "../../coordination/partition-ownership/index.ts";
import { repeat } from "../../runtime/clock.ts";
import type { DisconnectReason } from "../../runtime/disconnect-reason.ts";
import type { Sender, Transport } from "../../runtime/transport.ts";
import type { Headroom } from "../../scheduling/caller-spread/headroom.ts";
import { EMPTY_LOAD_REPORT } from "../../scheduling/runner-balancing/empty-load-report.ts";
import type { LoadReport } from "../../scheduling/runner-balancing/load-report.ts";
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
import type { GatewayCandidate } from "./gateway-candidate.ts";
import { planHeartbeats } from "./heartbeat-plan.ts";
import type { HeartbeatPlan } from "./heartbeat-targets.ts";
import { gatewayNameOf } from "./instance-name.ts";
import { isSameStatus } from "./is-same-status.ts";
import type { Member } from "./member.ts";
import { MemberView } from "./member-view.ts";
import { type ProtocolFeature, supportsFeature } from "./protocol-feature.ts";
import { PROTOCOL_VERSION } from "./protocol-version.ts";
import { zoneLoadSource } from "./zone-load-source.ts";

/** Number of ticks between heartbeats to known addresses without a live gateway. */
const TICKS_PER_PROBE = 4;
/** Number of ticks between heartbeats that contain all known addresses. */
const TICKS_PER_PEER_LIST = 8;
/**
 * Number of ticks after its start during which a gateway also sends heartbeats to the seeds. The seeds thus hear of every
 * start, and report all other gateways to the new one before it knows the relays of its zone.
 */
const SEED_CONTACT_TICKS = 6;
/** Maximum number of addresses per response to a caller. */
const MAX_ADDRESSES = 64;
/** With fewer ready gateways than this in its zone, a caller receives the gateways of all zones. */
const MIN_ZONE_GATEWAYS = 2;

/** How long a lost gateway may still be asked for what it remembers, in ms: until others have taken the place of relays. */
const MAX_LOST_HOLDER_AGE_MS = 5_000;

/** What a gateway reports about itself in its heartbeats. */
export interface SelfReport {
  readonly state: GatewayState;
  /** Whether its own connections to the store work. */
  readonly storeDirect: boolean;
  /** Partitions that it owns, with the epochs of its ownership. */
  readonly owned: readonly (readonly [number, number])[];
  /** Its requests at runners. */
  readonly runners: LoadReport;
  /** Undefined if callers are spread evenly over the gateways, without regard to headroom. */
  readonly headroom?: Headroom | undefined;
}

type MemberTransport = Transport<GatewayMessage> & { disconnect(address: string): void };

/** Tracks the other gateways and exchanges heartbeats and digests with them. */
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
  /** Addresses that refused a connection, because no process listens there. */
  readonly #refusingAddresses = new Set<string>();
  #lastStatus: MemberStatus | undefined;
  #ticks = 0;
  #stop: () => void = () => undefined;
  /** Returns what this gateway reports about itself. */
  selfReport: () => SelfReport = () => ({
    state: "starting",
    storeDirect: false,
    owned: [],
    runners: EMPTY_LOAD_REPORT,
  });
  /** Called for each heartbeat and for each gateway that a relay reports; repeated on every tick for the latter. */
  onHeard: (member: Member) => void = () => undefined;
  /** Called when a gateway is no longer alive. */
  onLost: (member: Member) => void = () => undefined;
  /** Called with the requests at runners that a gateway reports for itself, or a relay for a zone. */
  onLoads: (source: string, report: LoadReport) => void = () => undefined;
  /** Returns the sum of the loads that the given sources last reported. */
  sumLoads: (sources: readonly string[]) => LoadReport = () => EMPTY_LOAD_REPORT;

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

  /** Known addresses of other gateways, whether alive or not. */
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
   * Adds addresses of gateways. While few gateways are known, sends a heartbeat to each new address at once. If there are
   * many, digests carry the same information in fewer messages.
   */
  addKnownAddresses(addresses: readonly string[]): void {
    const added = addresses.filter((address) => this.#remember(address));
    const { directMost } = this.#context.settings.membership;
    if (this.#ticks === 0 || this.#knownAddresses.size >= directMost) return;
    for (const address of added)
      this.#transport.send(address, this.#heartbeat(address, this.selfReport(), true));
  }

  /** Sends heartbeats and digests now, and detects gateways that have timed out. */
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

  /** Handles the end of the connection to an address. */
  onDisconnected(address: string, reason: DisconnectReason): void {
    this.#digestSender.reset(address);
    if (reason === "refused") {
      this.#refusingAddresses.add(address);
      this.#view.recordRefusedConnection(address);
    } else if (reason === "unanswered" && this.#contactsSeeds && this.#seeds.includes(address)) {
      // The seed may be starting, too. Retry before the next tick, because a seed reports all other gateways.
      this.#transport.send(address, this.#heartbeat(address, this.selfReport()));
    }
  }

  /** Returns whether an address refused a connection and no heartbeat has arrived from it since. */
  refusesConnections(address: string): boolean {
    return this.#refusingAddresses.has(address);
  }

  /** Returns the addresses of the other gateways that are alive. */
  liveAddresses(): string[] {
    return this.#view.alive().map(({ address }) => address);
  }

  /**
   * Whether every known address either has a live gateway that is no longer starting, or refuses connections. Waiting longer
   * would then bring no new information. False while no address is known.
   */
  get hasSettled(): boolean {
    if (this.#knownAddresses.size === 0) return false;
    return [...this.#knownAddresses].every((address) => {
      if (this.refusesConnections(address)) return true;
      const member = this.#view.memberAt(address);
      return member !== undefined && this.#view.isAlive(member) && member.status.state !== "starting";
    });
  }

  /** Whether at least half of the known gateways, including this one, are alive. */
  get hearsMost(): boolean {
    return 2 * (this.#view.alive().length + 1) >= this.#knownAddresses.size + 1;
  }

  /**
   * Fraction of the known gateways, including this one, that are alive. Addresses that refuse connections are left out,
   * because no gateway runs there.
   */
  get reachedShare(): number {
    const reachableCount = this.#knownAddresses.size - this.#refusingAddresses.size + 1;
    return Math.min(1, (this.#view.alive().length + 1) / Math.max(1, reachableCount));
  }

  /**
   * Returns a time by which the process of an incarnation had ended, in ms of the monotonic clock: when another incarnation
   * of the same gateway became known or, for this gateway, was started. Undefined if that is not known.
   */
  endedByMs(instance: string): number | undefined {
    const name = gatewayNameOf(instance);
    if (name === this.#context.settings.name)
      return instance === this.#context.instance ? undefined : this.#startedMs;
    const successor = this.#view.aliveByName(name);
    return successor && successor.instance !== instance ? successor.heardSinceMs : undefined;
  }

  /** Number of other gateways that are alive. */
  get aliveCount(): number {
    return this.#view.alive().length;
  }

  /** Returns the address of an incarnation, or undefined if it is not alive. */
  addressOf(instance: string): string | undefined {
    if (instance === this.#context.instance) return this.#transport.self.address;
    return this.#view.aliveIncarnation(instance)?.address;
  }

  /**
   * Returns whether an incarnation is alive and may keep its partitions. A stopping gateway keeps them until it has handed
   * them over, which it shows by no longer listing them; what it hands over would be lost if another gateway took them
   * before. A gateway that doesn't reach the store keeps them until this gateway has reached the store for long enough:
   * after an outage, some gateways have not noticed or not yet reported that the store is back.
   */
  mayOwn(instance: string): boolean {
    const status = this.#view.aliveIncarnation(instance)?.status;
    if (status === undefined || status.state === "starting") return false;
    return (
      status.storeReachable || this.#storeHealth.reachableForMs < this.#context.settings.timing.storeSettleMs
    );
  }

  /** Returns the live gateways whose own connections to the store work: this zone's first, rotated by a random offset. */
  storeRelays(): StoreRelay[] {
    const { random, settings } = this.#context;
    const direct = this.#view.alive().filter(({ status }) => status.storeDirect);
    const start = random.below(Math.max(1, direct.length));
    const rotated = [...direct.slice(start), ...direct.slice(0, start)];
    const near = rotated.filter(({ status }) => status.zone === settings.zone);
    const far = rotated.filter(({ status }) => status.zone !== settings.zone);
    return [...near, ...far].map(({ instance, address }) => ({ instance, address }));
  }

  /** Returns the gateways that are eligible to own partitions, including this one if it is. */
  ownerCandidates(): OwnerCandidate[] {
    const candidates = this.#view
      .alive()
      .filter(({ status }) => isEligible(status))
      .map(({ status, hash }) => ({ name: status.name, hash }));
    if (isEligible(this.#status(this.selfReport())))
      candidates.push({ name: this.#context.settings.name, hash: this.#selfHash });
    return candidates;
  }

  /**
   * Returns the gateways that are eligible as dispatchers of runners. A dispatcher doesn't need the store, but its build has
   * to support places.
   */
  dispatcherCandidates(): GatewayCandidate[] {
    const ready = this.#view.alive().filter(({ status }) => status.state === "ready");
    const candidates = candidatesWith("places", ready);
    if (this.selfReport().state === "ready") candidates.push(this.#ownCandidate);
    return candidates;
  }

  /** Returns the other gateways that remember where streams began. */
  originHolders(): GatewayCandidate[] {
    return candidatesWith("streamOrigins", this.#view.alive());
  }

  /** Returns those that did and are considered lost, but may still run. */
  lostOriginHolders(): GatewayCandidate[] {
    return candidatesWith("streamOrigins", this.#view.recentlyLost(MAX_LOST_HOLDER_AGE_MS));
  }

  /** Returns the gateways that remember under which requests runners have ended, this one included. */
  poisonGuards(): GatewayCandidate[] {
    return [this.#ownCandidate, ...candidatesWith("poisonRequests", this.#view.alive())];
  }

  /** Returns those that did and are considered lost, but may still run. */
  lostPoisonGuards(): GatewayCandidate[] {
    return candidatesWith("poisonRequests", this.#view.recentlyLost(MAX_LOST_HOLDER_AGE_MS));
  }

  get #ownCandidate(): GatewayCandidate {
    const { settings, instance } = this.#context;
    return { name: settings.name, hash: this.#selfHash, instance, address: this.#transport.self.address };
  }

  /** Returns addresses of ready gateways for a caller: spread by headroom if the settings say so, else by zone only. */
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

  /** Adds an address. Returns false if it was known or is this gateway's own. */
  #remember(address: string): boolean {
    if (address === this.#transport.self.address || this.#knownAddresses.has(address)) return false;
    this.#knownAddresses.add(address);
    return true;
  }

  /**
   * Calls onHeard for each gateway that is alive only through relays. Digests contain only changes, but listeners expect
   * every gateway to be reported repeatedly, as with heartbeats.
   */
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
   * Whether this gateway looks for gateways that no other one hears. If relays are in use, only the relays do so, and
   * gateways that hear none of their heartbeat receivers.
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

/** Extracts the status from a heartbeat. Keeps unknown fields of newer builds, so that relays of this build forward them. */
function statusOf({ type, runners, peers, missedDigest, ...status }: Heartbeat): MemberStatus {
  return status;
}

function isEligible(status: Pick<MemberStatus, "state" | "storeReachable">): boolean {
  return status.state === "ready" && status.storeReachable;
}

/** The gateways among `members` that support a feature. */
function candidatesWith(feature: ProtocolFeature, members: readonly Member[]): GatewayCandidate[] {
  return members
    .filter(({ status }) => supportsFeature(status, feature))
    .map(({ status, hash, instance, address }) => ({ name: status.name, hash, instance, address }));
}
