/**
 * This gateway's view of the other gateways: which ones exist, which are alive, and their latest status. A gateway is alive
 * while its heartbeats arrive directly, or while a relay reports that it receives them.
 */
import { PeerLiveness } from "../../coordination/liveness/index.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { MemberDigest, MemberStatus } from "../gateway-messages.ts";
import { PauseDetector } from "../pause-detector.ts";
import { isSameStatus } from "./is-same-status.ts";
import type { Member } from "./member.ts";
import { type RelayEvidence, RelayedLiveness } from "./relayed-liveness.ts";

/** Receives changes of the view. */
export interface MemberViewListener {
  /** Called when a gateway is new, back or lost, or when its status has changed in more than its headroom. */
  onChanged(): void;
  /** Called when a gateway is no longer alive. */
  onLost(member: Member): void;
}

/** The gateways that are alive, by the evidence at one point in time. */
interface AliveMembers {
  readonly members: readonly Member[];
  readonly byInstance: ReadonlyMap<string, Member>;
  /** When the first piece of evidence expires, in ms of the monotonic clock. */
  readonly untilMs: number;
}

/** Tracks the other gateways, their liveness and their status. */
export class MemberView {
  readonly #context: GatewayContext;
  readonly #listener: MemberViewListener;
  readonly #liveness: PeerLiveness;
  readonly #relayedLiveness: RelayedLiveness;
  /** The latest incarnation at each address. */
  readonly #members = new Map<string, Member>();
  /** Incarnations that are no longer alive, and since when (monotonic clock, ms). */
  readonly #lostAtMs = new Map<string, number>();
  readonly #pauseDetector: PauseDetector;
  /** The live gateways. Cleared when evidence is added or withdrawn, and recomputed when a piece of evidence expires. */
  #aliveCache: AliveMembers | undefined;

  constructor(context: GatewayContext, listener: MemberViewListener) {
    const { suspectMs } = context.settings.timing;
    this.#context = context;
    this.#listener = listener;
    this.#pauseDetector = new PauseDetector(suspectMs);
    this.#liveness = new PeerLiveness(suspectMs);
    this.#relayedLiveness = new RelayedLiveness(suspectMs);
  }

  /** Number of known gateways, alive or lost, that are not forgotten. */
  get size(): number {
    return this.#members.size;
  }

  /** Returns the latest known gateway at an address. */
  memberAt(address: string): Member | undefined {
    return this.#members.get(address);
  }

  /** Returns all gateways that are alive. */
  alive(): readonly Member[] {
    return this.#alive.members;
  }

  /**
   * Returns the gateways that are no longer alive since `withinMs` at most. Some of them may still run: a gateway that hears
   * the others through relays considers all of them lost when those relays die.
   */
  recentlyLost(withinMs: number): Member[] {
    return [...this.#members.values()].filter(({ instance }) => {
      const lostAtMs = this.#lostAtMs.get(instance);
      return lostAtMs !== undefined && this.#nowMs - lostAtMs <= withinMs;
    });
  }

  /** Returns an incarnation if it is alive. */
  aliveIncarnation(instance: string): Member | undefined {
    return this.#alive.byInstance.get(instance);
  }

  /** Returns the live gateway with a name. */
  aliveByName(name: string): Member | undefined {
    return this.#alive.members.find(({ status }) => status.name === name);
  }

  /** Returns whether a gateway is alive: heard directly, or reported by a relay. */
  isAlive({ instance }: Member): boolean {
    return this.#alive.byInstance.has(instance);
  }

  /** Returns whether heartbeats of a gateway arrive directly. */
  isHeard(address: string): boolean {
    return this.#liveness.isAlive(address, this.#nowMs);
  }

  /**
   * Returns the gateways that digests may report to gateways of this zone: those heard directly, and those reported by a
   * relay of another zone. Reports by relays of this zone are left out. Otherwise two gateways of the zone that both
   * consider the other to be no relay could report a dead gateway to each other for ever.
   */
  relayable(): Member[] {
    const { zone } = this.#context.settings;
    const relays = this.#relayedLiveness.validEvidence(this.#nowMs).filter(({ relay }) => {
      return this.isHeard(relay) && this.#members.get(relay)?.status.zone !== zone;
    });
    return this.alive().filter(({ address, instance }) => {
      return this.isHeard(address) || relays.some(({ instances }) => instances.has(instance));
    });
  }

  /** Records a heartbeat; returns its sender. */
  recordHeartbeat(address: string, instance: string, status: MemberStatus): Member {
    const member = this.#remember(address, instance, status);
    if (!this.isHeard(address)) this.#aliveCache = undefined;
    this.#liveness.recordHeartbeat(address, this.#nowMs);
    return member;
  }

  /** Applies a relay's digest; returns the gateways whose status it contains. */
  applyDigest(relay: string, digest: MemberDigest): Member[] {
    const hasChanges = digest.whole || digest.changed.length > 0 || digest.lost.length > 0;
    if (hasChanges || !this.#relayedLiveness.isValid(relay, this.#nowMs)) this.#aliveCache = undefined;
    const isWithdrawal =
      digest.lost.length > 0 || (digest.whole && this.#relayedLiveness.hasDigestFrom(relay));
    if (digest.whole) this.#relayedLiveness.clear(relay);
    this.#relayedLiveness.recordDigest(relay, this.#nowMs);
    const members: Member[] = [];
    for (const { address, instance, status } of digest.changed) {
      this.#relayedLiveness.add(relay, instance);
      const known = this.#members.get(address);
      // Only the gateway itself can tell which of two incarnations is newer, so its own heartbeats take precedence.
      if (known && known.instance !== instance && this.isHeard(address)) continue;
      members.push(this.#remember(address, instance, status));
    }
    for (const instance of digest.lost) this.#relayedLiveness.remove(relay, instance);
    if (isWithdrawal) this.reportLostMembers();
    return members;
  }

  /** Records that an address refused a connection, which means that no process listens there. */
  recordRefusedConnection(address: string): void {
    this.#liveness.recordRefusedConnection(address);
    this.#aliveCache = undefined;
    this.reportLostMembers();
  }

  /** Detects gateways that have timed out; returns the addresses of those that were lost long ago and are removed now. */
  detectTimeouts(): string[] {
    this.#handleOwnPause();
    this.reportLostMembers();
    const { forgetMs } = this.#context.settings.timing;
    const forgotten: string[] = [];
    for (const member of [...this.#members.values()]) {
      const lostAtMs = this.#lostAtMs.get(member.instance);
      if (lostAtMs === undefined || this.#nowMs - lostAtMs < forgetMs) continue;
      this.#forget(member);
      forgotten.push(member.address);
    }
    return forgotten;
  }

  /** Reports gateways that are no longer alive to the listener. */
  reportLostMembers(): void {
    for (const member of this.#members.values()) {
      if (!this.#lostAtMs.has(member.instance) && !this.isAlive(member)) this.#markLost(member);
    }
  }

  get #nowMs(): number {
    return this.#context.clock.monotonicMs();
  }

  get #alive(): AliveMembers {
    const nowMs = this.#nowMs;
    if (!this.#aliveCache || nowMs >= this.#aliveCache.untilMs) this.#aliveCache = this.#computeAlive(nowMs);
    return this.#aliveCache;
  }

  /**
   * Checks every gateway once. Alive are those heard directly, and those reported by a relay that is itself heard directly.
   */
  #computeAlive(nowMs: number): AliveMembers {
    const relays = this.#relaysByEvidence(nowMs);
    let untilMs = Number.POSITIVE_INFINITY;
    const byInstance = new Map<string, Member>();
    const members: Member[] = [];
    for (const member of this.#members.values()) {
      const evidenceMs = this.#evidenceUntilMs(member, relays, nowMs);
      if (evidenceMs <= nowMs) continue;
      untilMs = Math.min(untilMs, evidenceMs);
      members.push(member);
      byInstance.set(member.instance, member);
    }
    return { members, byInstance, untilMs };
  }

  /** Returns the relays that are heard directly and until when their reports are valid, the longest validity first. */
  #relaysByEvidence(nowMs: number): RelayEvidence[] {
    const relays = this.#relayedLiveness.validEvidence(nowMs).filter(({ relay }) => this.isHeard(relay));
    const evidence = relays.map(({ relay, instances, untilMs }) => {
      return { relay, instances, untilMs: Math.min(untilMs, this.#liveness.aliveUntilMs(relay)) };
    });
    return evidence.sort((left, right) => right.untilMs - left.untilMs);
  }

  /**
   * Returns the time until which the current evidence shows that a gateway is alive. Not later than `nowMs` if there is no
   * such evidence.
   */
  #evidenceUntilMs({ address, instance }: Member, relays: readonly RelayEvidence[], nowMs: number): number {
    const heardUntilMs = this.#liveness.aliveUntilMs(address);
    if (heardUntilMs > nowMs) return heardUntilMs;
    const best = relays.find(({ instances }) => instances.has(instance));
    return best?.untilMs ?? Number.NEGATIVE_INFINITY;
  }

  #remember(address: string, instance: string, received: MemberStatus): Member {
    const earlier = this.#members.get(address);
    const isNew = earlier?.instance !== instance;
    if (earlier && isNew) this.#markLost(earlier);
    const status = earlier && !isNew ? withProtocol(received, earlier.status) : received;
    const isNewer = !earlier || isNew || earlier.status.revision < status.revision;
    const unchanged = !isNewer && earlier.status.protocol === status.protocol;
    const hash = earlier && !isNew ? earlier.hash : this.#context.hash.hash32(status.name);
    const heardSinceMs = earlier && !isNew ? earlier.heardSinceMs : this.#nowMs;
    const member = unchanged ? earlier : { address, instance, heardSinceMs, hash, status };
    if (isNew) this.#context.log.info({ peer: status.name, instance, address }, "peer heard");
    const hasReturned = this.#lostAtMs.delete(instance);
    this.#members.set(address, member);
    if (!unchanged || hasReturned) this.#aliveCache = undefined;
    const isUrgent = hasReturned || isNew || !earlier || !isSameStatus(earlier.status, member.status);
    if (isUrgent) this.#listener.onChanged();
    return member;
  }

  /** Extends all deadlines if this process was paused, because messages that arrived meanwhile have not been read yet. */
  #handleOwnPause(): void {
    const nowMs = this.#nowMs;
    if (!this.#pauseDetector.detectPause(nowMs)) return;
    this.#aliveCache = undefined;
    this.#liveness.recordOwnPause(nowMs);
    this.#relayedLiveness.recordOwnPause(nowMs);
  }

  #markLost(member: Member): void {
    if (this.#lostAtMs.has(member.instance)) return;
    this.#lostAtMs.set(member.instance, this.#nowMs);
    this.#context.log.info({ peer: member.status.name, instance: member.instance }, "peer lost");
    this.#listener.onChanged();
    this.#listener.onLost(member);
  }

  #forget({ address, instance }: Member): void {
    this.#aliveCache = undefined;
    this.#relayedLiveness.clear(address);
    this.#liveness.forget(address);
    this.#members.delete(address);
    this.#lostAtMs.delete(instance);
  }
}

/**
 * Returns the newer status, with the protocol version of either. A relay of an earlier build drops the version, which never
 * changes within an incarnation.
 */
function withProtocol(status: MemberStatus, earlier: MemberStatus): MemberStatus {
  const newest = status.revision < earlier.revision ? earlier : status;
  const protocol = status.protocol ?? earlier.protocol;
  return protocol === newest.protocol || protocol === undefined ? newest : { ...newest, protocol };
}
