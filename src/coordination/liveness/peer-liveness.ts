/**
 * Which peers are alive, from heartbeats alone. A peer that is silent for too long, or whose connection broke and
 * could not be opened again, is suspected; its next heartbeat clears it. Pure.
 */
interface PeerState {
  lastHeardMs: number;
  isConnectionRefused: boolean;
}

/** See the module's comment. Peers are keyed by address. */
export class PeerLiveness {
  readonly #suspectAfterMs: number;
  readonly #peers = new Map<string, PeerState>();

  /** @param suspectAfterMs silence after which a peer is suspected, in ms */
  constructor(suspectAfterMs: number) {
    this.#suspectAfterMs = suspectAfterMs;
  }

  /** A heartbeat arrived. */
  recordHeartbeat(address: string, nowMs: number): void {
    this.#peers.set(address, { lastHeardMs: nowMs, isConnectionRefused: false });
  }

  /** A connection to the peer was refused: nobody listens there now. */
  recordRefusedConnection(address: string): void {
    const peer = this.#peers.get(address);
    if (peer) peer.isConnectionRefused = true;
  }

  /** Whether the peer counts as alive. */
  isAlive(address: string, nowMs: number): boolean {
    return nowMs < this.aliveUntilMs(address);
  }

  /** Until when the peer counts as alive if nothing more is heard of it, in ms; minus infinity if it does not. */
  aliveUntilMs(address: string): number {
    const peer = this.#peers.get(address);
    if (peer === undefined || peer.isConnectionRefused) return Number.NEGATIVE_INFINITY;
    return peer.lastHeardMs + this.#suspectAfterMs;
  }

  /** This node itself stood still: what peers sent meanwhile has not been read yet, so nobody counts as silent. */
  recordOwnPause(nowMs: number): void {
    for (const peer of this.#peers.values()) peer.lastHeardMs = nowMs;
  }

  /** Forgets a peer. */
  forget(address: string): void {
    this.#peers.delete(address);
  }
}
