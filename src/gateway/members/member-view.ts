/**
 * What this gateway believes of the others: who they are, who is alive, and what they last said of themselves. Life
 * comes from heartbeats, heard directly or through relays.
 */
import { PeerLiveness } from "../../coordination/liveness/index.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { MemberDigest, MemberStatus } from "../gateway-messages.ts";
import { PauseDetector } from "../pause-detector.ts";
import type { Member } from "./member.ts";
import { sameStatus } from "./same-status.ts";
import { type RelayVouchers, Vouchers } from "./vouchers.ts";

/** Told of what changes. */
export interface MemberViewListener {
  /** Something is new: a gateway, what one says of itself, or its loss. */
  onChanged(): void;
  /** A gateway that was alive is no longer. */
  onLost(member: Member): void;
}

/** Who is alive, as of the evidence at one moment. */
interface AliveMembers {
  readonly members: readonly Member[];
  readonly byInstance: ReadonlyMap<string, Member>;
  /** When the first piece of evidence grows old, in ms of the monotonic clock. */
  readonly untilMs: number;
}

/** See the module's comment. */
export class MemberView {
  readonly #context: GatewayContext;
  readonly #listener: MemberViewListener;
  readonly #liveness: PeerLiveness;
  readonly #vouchers: Vouchers;
  /** By address. */
  readonly #members = new Map<string, Member>();
  /** Incarnations that are no longer alive, and since when (monotonic clock, ms). */
  readonly #lost = new Map<string, number>();
  readonly #standstill: PauseDetector;
  /** Who is alive, until something withdraws or adds evidence of a life, or a piece of evidence grows old. */
  #aliveNow: AliveMembers | undefined;

  constructor(context: GatewayContext, listener: MemberViewListener) {
    const { suspectMs } = context.settings.timing;
    this.#context = context;
    this.#listener = listener;
    this.#standstill = new PauseDetector(suspectMs);
    this.#liveness = new PeerLiveness(suspectMs);
    this.#vouchers = new Vouchers(suspectMs);
  }

  /** Gateways that were heard of and are not forgotten. */
  get size(): number {
    return this.#members.size;
  }

  /** The gateway that was last heard of at an address. */
  at(address: string): Member | undefined {
    return this.#members.get(address);
  }

  /** All that are alive. */
  alive(): readonly Member[] {
    return this.#alive.members;
  }

  /** An incarnation, if it is alive. */
  live(instance: string): Member | undefined {
    return this.#alive.byInstance.get(instance);
  }

  /** The gateway that is alive under a name. */
  named(name: string): Member | undefined {
    return this.#alive.members.find(({ status }) => status.name === name);
  }

  /** Whether a gateway is alive: heard here, or by a relay. */
  isAlive({ instance }: Member): boolean {
    return this.#alive.byInstance.has(instance);
  }

  /** Whether a gateway is heard directly. */
  isHeard(address: string): boolean {
    return this.#liveness.isAlive(address, this.#nowMs);
  }

  /**
   * The gateways that may be named to others of the zone: heard here, or by a relay of another zone. Two gateways of one
   * zone that take each other for no relay would otherwise name a dead one to each other for ever.
   */
  firsthand(): Member[] {
    const { zone } = this.#context.settings;
    const relays = this.#vouchers.current(this.#nowMs).filter(({ relay }) => {
      return this.isHeard(relay) && this.#members.get(relay)?.status.zone !== zone;
    });
    return this.alive().filter(({ address, instance }) => {
      return this.isHeard(address) || relays.some(({ instances }) => instances.has(instance));
    });
  }

  /** Records a heartbeat. */
  heard(address: string, instance: string, status: MemberStatus): Member {
    const member = this.#remember(address, instance, status);
    if (!this.isHeard(address)) this.#aliveNow = undefined;
    this.#liveness.recordHeartbeat(address, this.#nowMs);
    return member;
  }

  /** Applies a relay's digest; returns the gateways that it mentions. */
  relayed(relay: string, digest: MemberDigest): Member[] {
    const isNews = digest.whole || digest.changed.length > 0 || digest.lost.length > 0;
    if (isNews || !this.#vouchers.counts(relay, this.#nowMs)) this.#aliveNow = undefined;
    const withdraws = digest.lost.length > 0 || (digest.whole && this.#vouchers.knows(relay));
    if (digest.whole) this.#vouchers.clear(relay);
    this.#vouchers.refresh(relay, this.#nowMs);
    const members: Member[] = [];
    for (const { address, instance, status } of digest.changed) {
      this.#vouchers.add(relay, instance);
      const known = this.#members.get(address);
      // Which of two incarnations is the newer one, only the gateway itself can say.
      if (known && known.instance !== instance && this.isHeard(address)) continue;
      members.push(this.#remember(address, instance, status));
    }
    for (const instance of digest.lost) this.#vouchers.remove(relay, instance);
    if (withdraws) this.noticeSilence();
    return members;
  }

  /** Nobody listens at an address. */
  refused(address: string): void {
    this.#liveness.recordRefusedConnection(address);
    this.#aliveNow = undefined;
    this.noticeSilence();
  }

  /** Detects gateways that have timed out; returns the addresses of those that are forgotten now. */
  look(): string[] {
    this.#noticePause();
    this.noticeSilence();
    const { forgetMs } = this.#context.settings.timing;
    const forgotten: string[] = [];
    for (const member of [...this.#members.values()]) {
      const lostAtMs = this.#lost.get(member.instance);
      if (lostAtMs === undefined || this.#nowMs - lostAtMs < forgetMs) continue;
      this.#forget(member);
      forgotten.push(member.address);
    }
    return forgotten;
  }

  /** Reports gateways that are no longer alive. */
  noticeSilence(): void {
    for (const member of this.#members.values()) {
      if (!this.#lost.has(member.instance) && !this.isAlive(member)) this.#lose(member);
    }
  }

  get #nowMs(): number {
    return this.#context.clock.monotonicMs();
  }

  get #alive(): AliveMembers {
    const nowMs = this.#nowMs;
    if (!this.#aliveNow || nowMs >= this.#aliveNow.untilMs) this.#aliveNow = this.#findAlive(nowMs);
    return this.#aliveNow;
  }

  /** Looks at every gateway once: those that are heard here, and those for whom a relay vouches that is heard here. */
  #findAlive(nowMs: number): AliveMembers {
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

  /** Relays that are heard, and until when their digests count: those that count for longest first. */
  #relaysByEvidence(nowMs: number): RelayVouchers[] {
    const relays = this.#vouchers.current(nowMs).filter(({ relay }) => this.isHeard(relay));
    const evidence = relays.map(({ relay, instances, untilMs }) => {
      return { relay, instances, untilMs: Math.min(untilMs, this.#liveness.aliveUntilMs(relay)) };
    });
    return evidence.sort((left, right) => right.untilMs - left.untilMs);
  }

  /** Until when what is known now shows that a gateway is alive; not after `nowMs` when nothing does. */
  #evidenceUntilMs({ address, instance }: Member, relays: readonly RelayVouchers[], nowMs: number): number {
    const heardUntilMs = this.#liveness.aliveUntilMs(address);
    if (heardUntilMs > nowMs) return heardUntilMs;
    const best = relays.find(({ instances }) => instances.has(instance));
    return best?.untilMs ?? Number.NEGATIVE_INFINITY;
  }

  #remember(address: string, instance: string, told: MemberStatus): Member {
    const earlier = this.#members.get(address);
    const isNew = earlier?.instance !== instance;
    if (earlier && isNew) this.#lose(earlier);
    const status = earlier && !isNew ? withProtocol(told, earlier.status) : told;
    const isNewer = !earlier || isNew || earlier.status.revision < status.revision;
    const unchanged = !isNewer && earlier.status.protocol === status.protocol;
    const hash = earlier && !isNew ? earlier.hash : this.#context.hash.hash32(status.name);
    const heardSinceMs = earlier && !isNew ? earlier.heardSinceMs : this.#nowMs;
    const member = unchanged ? earlier : { address, instance, heardSinceMs, hash, status };
    if (isNew) this.#context.log.info({ peer: status.name, instance, address }, "peer heard");
    const isBack = this.#lost.delete(instance);
    this.#members.set(address, member);
    if (!unchanged || isBack) this.#aliveNow = undefined;
    const isUrgent = isBack || isNew || !earlier || !sameStatus(earlier.status, member.status);
    if (isUrgent) this.#listener.onChanged();
    return member;
  }

  /** This process stood still: what others sent meanwhile is still to be read. */
  #noticePause(): void {
    const nowMs = this.#nowMs;
    if (!this.#standstill.detectPause(nowMs)) return;
    this.#aliveNow = undefined;
    this.#liveness.recordOwnPause(nowMs);
    this.#vouchers.resume(nowMs);
  }

  #lose(member: Member): void {
    if (this.#lost.has(member.instance)) return;
    this.#lost.set(member.instance, this.#nowMs);
    this.#context.log.info({ peer: member.status.name, instance: member.instance }, "peer lost");
    this.#listener.onChanged();
    this.#listener.onLost(member);
  }

  #forget({ address, instance }: Member): void {
    this.#aliveNow = undefined;
    this.#vouchers.clear(address);
    this.#liveness.forget(address);
    this.#members.delete(address);
    this.#lost.delete(instance);
  }
}

/** A relay of an earlier build drops the version; it is the same for the life of an incarnation. */
function withProtocol(status: MemberStatus, earlier: MemberStatus): MemberStatus {
  const newest = status.revision < earlier.revision ? earlier : status;
  const protocol = status.protocol ?? earlier.protocol;
  return protocol === newest.protocol || protocol === undefined ? newest : { ...newest, protocol };
}
