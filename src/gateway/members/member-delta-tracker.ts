/** Tracks what each receiver of digests was last sent, so that a digest contains only the changes since then. */
import type { MemberDigest, MemberStatus } from "../gateway-messages.ts";
import type { Member } from "./member.ts";

/** The membership changes of a digest. */
export type MemberDelta = Pick<MemberDigest, "sequence" | "changed" | "lost" | "whole">;

interface ReceiverState {
  sequence: number;
  /** The list that was last sent. There are no changes while the caller passes the same array. */
  sentMembers: readonly Member[] | undefined;
  /** The status last sent, by incarnation. */
  readonly sentStatuses: Map<string, MemberStatus>;
}

const EMPTY_DELTA = { changed: [], lost: [], whole: false };

/** Computes the changes for each receiver of digests. */
export class MemberDeltaTracker {
  /** By the receiver's address. */
  readonly #receivers = new Map<string, ReceiverState>();

  /**
   * Returns the changes to send to a receiver, without those of the receiver itself, and records them as sent.
   *
   * @param members the gateways to report; the same array as long as nothing about them has changed
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

  /** Returns whether this array was the last one sent to a receiver, so that there are no changes for it. */
  isUpToDate(receiver: string, members: readonly Member[]): boolean {
    return this.#receivers.get(receiver)?.sentMembers === members;
  }

  /** Discards a receiver's state because it may have missed a digest. Its next digest contains every member. */
  reset(receiver: string): void {
    this.#receivers.delete(receiver);
  }
}
