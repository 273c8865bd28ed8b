/**
 * The other gateways: who they are, who is alive, and what they say of themselves. Every gateway sends heartbeats to
 * all that it knows; addresses come from the settings, the store and the heartbeats of others.
 */

import { PeerLiveness } from "../../coordination/liveness/index.ts";
import type { OwnerCandidate } from "../../coordination/partition-ownership/index.ts";
import { repeat } from "../../runtime/clock.ts";
import type { Sender, Transport } from "../../runtime/transport.ts";
import type { NodeReport } from "../../scheduling/runner-board/node-report.ts";
import type { GatewayContext } from "../gateway-context.ts";
import type { GatewayMessage, GatewayState, Heartbeat } from "../gateway-messages.ts";
import type { StoreHealth } from "../store-health.ts";

/** Heartbeats to peers that are not alive are sent only every so many times. */
const PROBE_EVERY = 4;
/** Known addresses travel with every so many heartbeats. */
const PEERS_EVERY = 8;
/** Most addresses in one answer of the directory. */
const MAX_ADDRESSES = 64;
/** With fewer live gateways in a caller's zone than this, it is given all. */
const MIN_IN_ZONE = 2;

/** What a gateway says of itself. */
export interface SelfReport {
  readonly state: GatewayState;
  readonly owned: readonly (readonly [number, number])[];
  readonly runners: NodeReport;
}

/** Another gateway. */
export interface Member {
  readonly address: string;
  readonly instance: string;
  readonly heartbeat: Heartbeat;
}

/** Called when a peer that was alive is no longer. */
export type MemberLost = (member: Member) => void;

/** See the module's comment. */
export class MemberDirectory {
  readonly #context: GatewayContext;
  readonly #transport: Transport<GatewayMessage> & { disconnect(address: string): void };
  readonly #health: StoreHealth;
  readonly #liveness: PeerLiveness;
  readonly #known = new Set<string>();
  readonly #members = new Map<string, Member>();
  readonly #lost = new Set<string>();
  #ticks = 0;
  #stop: () => void = () => undefined;
  /** What this gateway says of itself. */
  selfReport: () => SelfReport = () => ({
    state: "starting",
    owned: [],
    runners: { inFlight: [], failing: [] },
  });
  onHeard: (member: Member) => void = () => undefined;
  onLost: MemberLost = () => undefined;

  constructor(
    context: GatewayContext,
    transport: Transport<GatewayMessage> & { disconnect(address: string): void },
    health: StoreHealth,
  ) {
    this.#context = context;
    this.#transport = transport;
    this.#health = health;
    const { suspectMs, forgetMs } = context.settings.timing;
    this.#liveness = new PeerLiveness({ suspectAfterMs: suspectMs, forgetAfterMs: forgetMs });
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
    if (this.#ticks > 0) this.#transport.send(address, this.#heartbeat(true));
  }

  /** Sends heartbeats now, and looks who has fallen silent. */
  tick(): void {
    this.#ticks += 1;
    this.#noticeSilence();
    const nowMs = this.#context.clock.monotonicMs();
    for (const address of this.#known) {
      if (!this.#liveness.alive(address, nowMs) && this.#ticks % PROBE_EVERY !== 1) continue;
      this.#transport.send(address, this.#heartbeat());
    }
  }

  /** Takes in a heartbeat. */
  onHeartbeat(heartbeat: Heartbeat, from: Sender): void {
    const { address, instance } = from;
    if (address === this.#transport.self.address) return;
    const first = !this.#members.has(address);
    const earlier = this.#members.get(address);
    if (earlier && earlier.instance !== instance) this.#lose(earlier);
    const member: Member = { address, instance, heartbeat };
    this.#members.set(address, member);
    this.#lost.delete(instance);
    this.#liveness.heard(address, this.#context.clock.monotonicMs());
    this.know(address);
    for (const peer of heartbeat.peers) this.know(peer);
    if (first || earlier?.instance !== instance) {
      this.#context.log.info({ peer: heartbeat.name, instance, address }, "peer heard");
      this.#transport.send(address, this.#heartbeat(true));
    }
    this.onHeard(member);
  }

  /** The connection to an address has ended. */
  onDisconnected(address: string, refused: boolean): void {
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
    return this.#alive().find((member) => member.instance === instance)?.address;
  }

  /**
   * Whether an incarnation is alive and may go on owning partitions. One that does not reach the store may, until this
   * gateway has reached it for long enough: after an outage the others have not all noticed yet, or not yet said so.
   */
  mayOwn(instance: string): boolean {
    const { storeSettleMs } = this.#context.settings.timing;
    const outageOver = this.#health.reachableForMs >= storeSettleMs;
    return this.#alive().some(
      ({ instance: alive, heartbeat }) =>
        alive === instance && heartbeat.state === "ready" && (heartbeat.storeReachable || !outageOver),
    );
  }

  /** The gateways that may own partitions, this one included if it may. */
  ownerCandidates(): OwnerCandidate[] {
    const names = this.#alive()
      .filter((member) => isEligible(member.heartbeat))
      .map((member) => member.heartbeat.name);
    const self = { state: this.selfReport().state, storeReachable: this.#health.reachable };
    if (isEligible(self)) names.push(this.#context.settings.name);
    return names.map((name) => ({ name, hash: this.#context.hash.hash32(name) }));
  }

  /** Addresses for a caller: live and ready gateways, those of its zone if there are enough. */
  callerAddresses(zone: string | undefined): string[] {
    const { settings } = this.#context;
    const ready = this.#alive()
      .filter((member) => member.heartbeat.state === "ready")
      .map(({ heartbeat }) => ({ zone: heartbeat.zone, address: heartbeat.callerAddress }));
    if (this.selfReport().state === "ready") {
      ready.push({ zone: settings.zone, address: settings.listen.callers });
    }
    const near = ready.filter((gateway) => gateway.zone === zone);
    const chosen = near.length >= MIN_IN_ZONE ? near : ready;
    return chosen.slice(0, MAX_ADDRESSES).map((gateway) => gateway.address);
  }

  #alive(): Member[] {
    const nowMs = this.#context.clock.monotonicMs();
    return [...this.#members.values()].filter((member) => this.#liveness.alive(member.address, nowMs));
  }

  #noticeSilence(): void {
    const nowMs = this.#context.clock.monotonicMs();
    for (const member of this.#members.values()) {
      if (this.#lost.has(member.instance) || this.#liveness.alive(member.address, nowMs)) continue;
      this.#transport.disconnect(member.address);
      this.#lose(member);
    }
    for (const address of this.#liveness.forgetSilent(nowMs)) {
      this.#members.delete(address);
      this.#known.delete(address);
    }
  }

  #lose(member: Member): void {
    if (this.#lost.has(member.instance)) return;
    this.#lost.add(member.instance);
    this.#context.log.info({ peer: member.heartbeat.name, instance: member.instance }, "peer lost");
    this.onLost(member);
  }

  #heartbeat(withPeers = this.#ticks % PEERS_EVERY === 1): Heartbeat {
    const { settings } = this.#context;
    return {
      type: "heartbeat",
      name: settings.name,
      zone: settings.zone,
      callerAddress: settings.listen.callers,
      ...this.selfReport(),
      storeReachable: this.#health.reachable,
      peers: withPeers ? [...this.#known] : [],
    };
  }
}

function isEligible(report: Pick<Heartbeat, "state" | "storeReachable">): boolean {
  return report.state === "ready" && report.storeReachable;
}
