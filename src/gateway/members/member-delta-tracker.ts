/** What was passed on to each receiver of digests, so that a digest holds only what is news to it. */
import type { MemberDigest, MemberStatus } from "../gateway-messages.ts";
import type { Member } from "./member.ts";

/** The part of a digest that speaks of gateways. */
export type MemberDelta = Pick<MemberDigest, "sequence" | "changed" | "lost" | "whole">;

interface ReceiverState {
  sequence: number;
  /** The list that it was last told of: while that is the same, there is no news. */
  sentMembers: readonly Member[] | undefined;
  /** What it was last told, by incarnation. */
  readonly sentStatuses: Map<string, MemberStatus>;
}

const EMPTY_DELTA = { changed: [], lost: [], whole: false };

/** See the module's comment. */
export class MemberDeltaTracker {
  /** By address. */
  readonly #receivers = new Map<string, ReceiverState>();

  /**
   * What to tell a receiver of the gateways that are heard now, itself left out; it counts as told from now on.
   *
   * @param members the same array as long as nothing about these gateways has changed
   */
  nextDelta(receiver: string, members: readonly Member[]): MemberDelta {
    const known = this.#receivers.get(receiver);
    const state = known ?? {
      sequence: 0,
      sentMembers: undefined,
      sentStatuses: new Map<string, MemberStatus>(),
    };
    this.#receivers.set(receiver, state);
    state.sequence += 1;
    if (state.sentMembers === members) return { sequence: state.sequence, ...EMPTY_DELTA };
    state.sentMembers = members;
    const { sequence, sentStatuses } = state;
    const others = members.filter(({ address }) => address !== receiver);
    const changed = others.filter((member) => sentStatuses.get(member.instance) !== member.status);
    for (const { instance, status } of changed) sentStatuses.set(instance, status);
    const instances = new Set(others.map((member) => member.instance));
    const lost = [...sentStatuses.keys()].filter((instance) => !instances.has(instance));
    for (const instance of lost) sentStatuses.delete(instance);
    const relayed = changed.map(({ address, instance, status }) => ({ address, instance, status }));
    return { sequence, changed: relayed, lost, whole: known === undefined };
  }

  /** Whether a receiver was last told of this very list, so that there is no news for it. */
  isUpToDate(receiver: string, members: readonly Member[]): boolean {
    return this.#receivers.get(receiver)?.sentMembers === members;
  }

  /** A receiver may have missed something: it is told everything again. */
  reset(receiver: string): void {
    this.#receivers.delete(receiver);
  }
}
