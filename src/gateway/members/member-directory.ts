/**
 * The other gateways: who they are, who is alive, and what they say of themselves. Addresses come from the settings,
 * the store and other gateways; life comes from heartbeats, heard directly or through relays (heartbeat-plan.ts).
 */

import { PeerLiveness } from "../../coordination/liveness/index.ts";
import type { OwnerCandidate } from "../../coordination/partition-ownership/index.ts";
import { repeat } from "../../runtime/clock.ts";
import type { Sender, Transport } from "../../runtime/transport.ts";
import type { NodeReport } from "../../scheduling/runner-board/node-report.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type {
  GatewayMessage,
  GatewayState,
  Heartbeat,
  MemberDigest,
  MemberStatus,
  RelayedMember,
} from "../gateway-messages.ts";
import type { StoreHealth } from "../store-health.ts";
import { DigestLog } from "./digest-log.ts";
import { DigestSequences } from "./digest-sequences.ts";
import { type HeartbeatPlan, planHeartbeats } from "./heartbeat-plan.ts";
import type { Member } from "./member.ts";
import { sameStatus } from "./same-status.ts";
import { Vouchers } from "./vouchers.ts";

/** Heartbeats to addresses where nobody is alive are sent only every so many times. */
const PROBE_EVERY = 4;
/** Known addresses travel with every so many heartbeats. */
const PEERS_EVERY = 8;
/** Most addresses in one answer of the directory. */
const MAX_ADDRESSES = 64;
/** With fewer live gateways in a caller's zone than this, it is given all. */
const MIN_IN_ZONE = 2;
/** A relay passes changes on after this time, in ms, together with those that come meanwhile. */
const FORWARD_MS = 20;

/** What a gateway says of itself. */
export interface SelfReport {
  readonly state: GatewayState;
  readonly owned: readonly (readonly [number, number])[];
  readonly runners: NodeReport;
}

type MemberTransport = Transport<GatewayMessage> & { disconnect(address: string): void };

/** See the module's comment. */
export class MemberDirectory {
  readonly #context: GatewayContext;
  readonly #transport: MemberTransport;
  readonly #health: StoreHealth;
  readonly #selfHash: number;
  readonly #liveness: PeerLiveness;
  readonly #vouchers: Vouchers;
  readonly #digests = new DigestLog();
  readonly #sequences = new DigestSequences();
  readonly #known = new Set<string>();
  /** By address. */
  readonly #members = new Map<string, Member>();
  readonly #byInstance = new Map<string, Member>();
  /** Incarnations that are no longer alive, and since when (monotonic clock, ms). */
  readonly #lost = new Map<string, number>();
  #lastStatus: MemberStatus | undefined;
  #ticks = 0;
  #lastTickMs: number | undefined;
  #forwarding = false;
  #stop: () => void = () => undefined;
  /** What this gateway says of itself. */
  selfReport: () => SelfReport = () => ({
    state: "starting",
    owned: [],
    runners: { inFlight: [], failing: [] },
  });
  /** Called when a gateway was heard of. */
  onHeard: (member: Member) => void = () => undefined;
  /** Called when a gateway that was alive is no longer. */
  onLost: (member: Member) => void = () => undefined;
  /** Called with the requests at runners of a gateway, or of a zone. */
  onLoads: (source: string, report: NodeReport) => void = () => undefined;
  /** Sums the loads that were last given for some sources. */
  sumLoads: (sources: readonly string[]) => NodeReport = () => ({ inFlight: [], failing: [] });

  constructor(context: GatewayContext, transport: MemberTransport, health: StoreHealth) {
    this.#context = context;
    this.#transport = transport;
    this.#health = health;
    const { suspectMs } = context.settings.timing;
    this.#liveness = new PeerLiveness(suspectMs);
    this.#vouchers = new Vouchers(suspectMs);
    this.#selfHash = context.hash.hash32(context.settings.name);
    for (const seed of context.settings.seeds) this.know(seed);
  }

  /** Addresses of gateways that were heard of. */
  get known(): readonly string[] {
    return [...this.#known];
  }

  start(): void {
    this.tick();
    this.#stop = repeat(this.#context.clock, this.#context.settings.timing.heartbeatMs, () => this.tick());
  }

  stop(): void {
    this.#stop();
  }

  /** Remembers an address to send heartbeats to. */
  know(address: string): void {
    if (address === this.#transport.self.address || this.#known.has(address)) return;
    this.#known.add(address);
    if (this.#ticks > 0 && this.#members.size < this.#context.settings.membership.directMost)
      this.#transport.send(address, this.#heartbeat(address, true));
  }

  /** Sends heartbeats now, and looks who has fallen silent. */
  tick(): void {
    this.#ticks += 1;
    this.#noticePause();
    this.#noticeSilence();
    const plan = this.#plan();
    const targets = new Set(plan.heartbeatsTo);
    if (this.#ticks % PROBE_EVERY === 1)
      for (const address of this.#addressesToProbe(plan)) targets.add(address);
    for (const address of targets) this.#transport.send(address, this.#heartbeat(address));
    this.#sendDigests(plan);
    this.#repeatRelayed();
  }

  /** Takes in a heartbeat. */
  onHeartbeat(heartbeat: Heartbeat, from: Sender): void {
    const { address, instance } = from;
    if (address === this.#transport.self.address) return;
    const isNew = this.#members.get(address)?.instance !== instance;
    const member = this.#remember(address, instance, statusOf(heartbeat));
    this.#liveness.heard(address, this.#context.clock.monotonicMs());
    this.know(address);
    for (const peer of heartbeat.peers) this.know(peer);
    if (isNew || heartbeat.missedDigest) this.#digests.reset(address);
    if (isNew) {
      this.#transport.send(address, this.#heartbeat(address, true));
    }
    this.onHeard(member);
    this.onLoads(instance, heartbeat.runners);
  }

  /** Takes in what a relay passes on. */
  onDigest(digest: MemberDigest, from: Sender): void {
    if (!this.#sequences.accept(from.address, digest)) return;
    if (digest.whole) this.#vouchers.clear(from.address);
    this.#vouchers.refresh(from.address, this.#context.clock.monotonicMs());
    for (const relayed of digest.changed) this.#onRelayed(relayed, from.address);
    for (const instance of digest.lost) this.#vouchers.remove(from.address, instance);
    for (const [zone, report] of digest.loads) this.onLoads(loadSourceOf(zone), report);
    if (digest.lost.length > 0 || digest.whole) this.#noticeSilence();
  }

  /** The connection to an address has ended. */
  onDisconnected(address: string, refused: boolean): void {
    this.#digests.reset(address);
    if (!refused) return;
    this.#liveness.refused(address);
    this.#noticeSilence();
  }

  /** Whether at least half of the gateways that were heard of, this one included, are alive. */
  get hearsMost(): boolean {
    return 2 * (this.#alive().length + 1) >= this.#known.size + 1;
  }

  /** The address of a live incarnation. */
  addressOf(instance: string): string | undefined {
    if (instance === this.#context.instance) return this.#transport.self.address;
    return this.#liveMember(instance)?.address;
  }

  /**
   * Whether an incarnation is alive and may go on owning partitions. One that does not reach the store may, until this
   * gateway has reached it for long enough: after an outage the others have not all noticed yet, or not yet said so.
   */
  mayOwn(instance: string): boolean {
    const status = this.#liveMember(instance)?.status;
    if (status?.state !== "ready") return false;
    return status.storeReachable || this.#health.reachableForMs < this.#context.settings.timing.storeSettleMs;
  }

  /** The gateways that may own partitions, this one included if it may. */
  ownerCandidates(): OwnerCandidate[] {
    const candidates = this.#alive()
      .filter(({ status }) => isEligible(status))
      .map(({ status, hash }) => ({ name: status.name, hash }));
    if (isEligible(this.#status()))
      candidates.push({ name: this.#context.settings.name, hash: this.#selfHash });
    return candidates;
  }

  /** Addresses for a caller: live and ready gateways, those of its zone if there are enough. */
  callerAddresses(zone: string | undefined): string[] {
    const { settings } = this.#context;
    const ready = this.#alive()
      .filter(({ status }) => status.state === "ready")
      .map(({ status }) => ({ zone: status.zone, address: status.callerAddress }));
    if (this.selfReport().state === "ready") {
      ready.push({ zone: settings.zone, address: settings.listen.callers });
    }
    const near = ready.filter((gateway) => gateway.zone === zone);
    const chosen = near.length >= MIN_IN_ZONE ? near : ready;
    return chosen.slice(0, MAX_ADDRESSES).map((gateway) => gateway.address);
  }

  #alive(): Member[] {
    return [...this.#members.values()].filter((member) => this.#isAlive(member));
  }

  #isAlive({ address, instance }: Member): boolean {
    return this.#isHeard(address) || this.#relaysFor(instance).length > 0;
  }

  /** The relays that are heard and name a gateway. */
  #relaysFor(instance: string): string[] {
    const relays = this.#vouchers.relaysFor(instance, this.#context.clock.monotonicMs());
    return relays.filter((relay) => this.#isHeard(relay));
  }

  /**
   * Whether a gateway may be named to others of the zone: it is heard here, or by a relay of another zone. Two gateways
   * of one zone that take each other for no relay would otherwise name a dead one to each other for ever.
   */
  #isFirsthand({ address, instance }: Member): boolean {
    if (this.#isHeard(address)) return true;
    return this.#relaysFor(instance).some((relay) => {
      return this.#members.get(relay)?.status.zone !== this.#context.settings.zone;
    });
  }

  /** Whether a gateway is heard directly. */
  #isHeard(address: string): boolean {
    return this.#liveness.alive(address, this.#context.clock.monotonicMs());
  }

  #liveMember(instance: string): Member | undefined {
    const member = this.#byInstance.get(instance);
    return member && this.#isAlive(member) ? member : undefined;
  }

  /** Digests name only what has changed; listeners hear of every gateway again and again, as with heartbeats. */
  #repeatRelayed(): void {
    for (const member of this.#alive()) if (!this.#isHeard(member.address)) this.onHeard(member);
  }

  #onRelayed({ address, instance, status }: RelayedMember, relay: string): void {
    if (address === this.#transport.self.address) return;
    this.#vouchers.add(relay, instance);
    this.know(address);
    const known = this.#members.get(address);
    // Which of two incarnations is the newer one, only the gateway itself can say.
    if (known && known.instance !== instance && this.#isHeard(address)) return;
    this.onHeard(this.#remember(address, instance, status));
  }

  #remember(address: string, instance: string, status: MemberStatus): Member {
    const earlier = this.#members.get(address);
    const isNew = earlier?.instance !== instance;
    if (earlier && isNew) this.#lose(earlier);
    const unchanged = earlier && !isNew && earlier.status.revision >= status.revision;
    const hash = earlier && !isNew ? earlier.hash : this.#context.hash.hash32(status.name);
    const member = unchanged ? earlier : { address, instance, hash, status };
    if (isNew) this.#context.log.info({ peer: status.name, instance, address }, "peer heard");
    if (!unchanged || this.#lost.delete(instance)) this.#forwardSoon();
    if (earlier) this.#byInstance.delete(earlier.instance);
    this.#members.set(address, member);
    this.#byInstance.set(instance, member);
    return member;
  }

  /** This process stood still: what others sent meanwhile is still to be read. */
  #noticePause(): void {
    const nowMs = this.#context.clock.monotonicMs();
    const { suspectMs } = this.#context.settings.timing;
    if (this.#lastTickMs !== undefined && nowMs - this.#lastTickMs > suspectMs) {
      this.#liveness.resume(nowMs);
      this.#vouchers.resume(nowMs);
    }
    this.#lastTickMs = nowMs;
  }

  #noticeSilence(): void {
    const nowMs = this.#context.clock.monotonicMs();
    const { forgetMs } = this.#context.settings.timing;
    for (const member of [...this.#members.values()]) {
      const lostAtMs = this.#lost.get(member.instance);
      if (lostAtMs !== undefined && nowMs - lostAtMs >= forgetMs) this.#forget(member);
      if (lostAtMs !== undefined || this.#isAlive(member)) continue;
      this.#transport.disconnect(member.address);
      this.#lose(member);
    }
  }

  #lose(member: Member): void {
    if (this.#lost.has(member.instance)) return;
    this.#lost.set(member.instance, this.#context.clock.monotonicMs());
    this.#context.log.info({ peer: member.status.name, instance: member.instance }, "peer lost");
    this.#forwardSoon();
    this.onLost(member);
  }

  #forget({ address, instance }: Member): void {
    this.#vouchers.clear(address);
    this.#sequences.forget(address);
    this.#liveness.forget(address);
    this.#members.delete(address);
    this.#known.delete(address);
    this.#byInstance.delete(instance);
    this.#lost.delete(instance);
  }

  #plan(): HeartbeatPlan {
    const { settings } = this.#context;
    return planHeartbeats({
      self: { address: this.#transport.self.address, zone: settings.zone, hash: this.#selfHash },
      others: this.#alive().map(({ address, status, hash }) => ({ address, zone: status.zone, hash })),
      isHeard: (address) => this.#isHeard(address),
      directMost: settings.membership.directMost,
    });
  }

  /** With relays, only they look for gateways that nobody hears, and those that no relay speaks to. */
  #addressesToProbe(plan: HeartbeatPlan): string[] {
    const isolated = !plan.heartbeatsTo.some((address) => this.#isHeard(address));
    if (plan.relayed && !plan.relay && !isolated) return [];
    return [...this.#known].filter((address) => {
      const member = this.#members.get(address);
      return !member || !this.#isAlive(member);
    });
  }

  /** Tells others of a change before the next heartbeat. */
  #forwardSoon(): void {
    if (this.#forwarding || this.#ticks === 0) return;
    this.#forwarding = true;
    this.#context.clock.schedule(FORWARD_MS, () => {
      this.#forwarding = false;
      this.#sendDigests(this.#plan());
    });
  }

  #sendDigests(plan: HeartbeatPlan): void {
    const { zoneDigestsTo, fullDigestsTo } = plan;
    if (zoneDigestsTo.length === 0 && fullDigestsTo.length === 0) return;
    const alive = this.#alive();
    const ofZone = alive.filter(({ status, address }) => {
      return status.zone === this.#context.settings.zone && this.#isHeard(address);
    });
    for (const address of zoneDigestsTo)
      this.#sendDigest(address, ofZone, [this.#zoneLoad(ofZone, plan, address)]);
    for (const address of fullDigestsTo) {
      const others = alive.filter((member) => member.address !== address && this.#isFirsthand(member));
      this.#sendDigest(address, others, this.#loads(alive, plan, address));
    }
  }

  #sendDigest(address: string, heard: readonly Member[], loads: MemberDigest["loads"]): void {
    this.#transport.send(address, { type: "memberDigest", ...this.#digests.news(address, heard), loads });
  }

  /** Loads of this zone but of its relays, and of the receiver, which tell theirs themselves. */
  #zoneLoad(ofZone: readonly Member[], plan: HeartbeatPlan, receiver: string): [string, NodeReport] {
    const told = new Set([
      ...plan.heartbeatsTo.filter((address) => !plan.fullDigestsTo.includes(address)),
      receiver,
    ]);
    const sources = ofZone.filter(({ address }) => !told.has(address)).map(({ instance }) => instance);
    return [this.#context.settings.zone, this.sumLoads(sources)];
  }

  #loads(alive: readonly Member[], plan: HeartbeatPlan, receiver: string): [string, NodeReport][] {
    const own = this.#context.settings.zone;
    const ofZone = alive.filter(({ status, address }) => status.zone === own && this.#isHeard(address));
    const loads = [this.#zoneLoad(ofZone, plan, receiver)];
    const zones = new Set(alive.map(({ status }) => status.zone));
    zones.delete(own);
    for (const zone of zones) {
      const relays = alive.filter(({ status, address }) => status.zone === zone && this.#isHeard(address));
      const sources = [loadSourceOf(zone), ...relays.map(({ instance }) => instance)];
      loads.push([zone, this.sumLoads(sources)]);
    }
    return loads;
  }

  #status(): MemberStatus {
    const { name, zone, listen } = this.#context.settings;
    const { state, owned } = this.selfReport();
    const changing = { state, storeReachable: this.#health.reachable, owned };
    const last = this.#lastStatus;
    if (last && sameStatus(last, changing)) return last;
    const revision = (last?.revision ?? 0) + 1;
    this.#lastStatus = { revision, name, zone, callerAddress: listen.callers, ...changing };
    return this.#lastStatus;
  }

  #heartbeat(receiver: string, withPeers = this.#ticks % PEERS_EVERY === 1): Heartbeat {
    const { runners } = this.selfReport();
    const peers = withPeers ? [...this.#known] : [];
    const missedDigest = this.#sequences.missed(receiver);
    return { type: "heartbeat", ...this.#status(), runners, peers, missedDigest };
  }
}

function statusOf({
  revision,
  name,
  zone,
  callerAddress,
  state,
  storeReachable,
  owned,
}: Heartbeat): MemberStatus {
  return { revision, name, zone, callerAddress, state, storeReachable, owned };
}

function isEligible(status: Pick<MemberStatus, "state" | "storeReachable">): boolean {
  return status.state === "ready" && status.storeReachable;
}

/** Under which name the loads of a zone are known. */
function loadSourceOf(zone: string): string {
  return `zone ${zone}`;
}
