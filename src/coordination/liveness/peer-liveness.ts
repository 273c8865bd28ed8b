/**
 * Failure detection by heartbeats. A peer is suspected when no heartbeat arrives for too long, or when its connection
 * broke and could not be opened again. Its next heartbeat clears the suspicion. Pure.
 */
interface PeerState {
  lastHeardMs: number;
  isConnectionRefused: boolean;
}

/** Tracks which peers are alive, by address. */
export class PeerLiveness {
  readonly #suspectAfterMs: number;
  readonly #peers = new Map<string, PeerState>();

  /** @param suspectAfterMs time without a heartbeat after which a peer is suspected, in ms */
  constructor(suspectAfterMs: number) {
    this.#suspectAfterMs = suspectAfterMs;
  }

  /** Records a heartbeat of a peer. */
  recordHeartbeat(address: string, nowMs: number): void {
    this.#peers.set(address, { lastHeardMs: nowMs, isConnectionRefused: false });
  }

  /** Records that a peer refused a connection, which means that no process listens at its address. */
  recordRefusedConnection(address: string): void {
    const peer = this.#peers.get(address);
    if (peer) peer.isConnectionRefused = true;
  }

  /** Returns whether a peer counts as alive. */
  isAlive(address: string, nowMs: number): boolean {
    return nowMs < this.aliveUntilMs(address);
  }

  /**
   * Returns the time until which a peer counts as alive without further heartbeats, in ms; minus infinity if it
   * doesn't.
   */
  aliveUntilMs(address: string): number {
    const peer = this.#peers.get(address);
    if (peer === undefined || peer.isConnectionRefused) return Number.NEGATIVE_INFINITY;
    return peer.lastHeardMs + this.#suspectAfterMs;
  }

  /**
   * Records a pause of this process. Heartbeats that arrived during the pause have not been read yet, so every peer
   * gets the full time again.
   */
  recordOwnPause(nowMs: number): void {
    for (const peer of this.#peers.values()) peer.lastHeardMs = nowMs;
  }

  /** Removes a peer. */
  forget(address: string): void {
    this.#peers.delete(address);
  }
}
