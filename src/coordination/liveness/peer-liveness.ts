/**
 * Which peers are alive, from heartbeats alone. A peer that is silent for too long, or whose connection broke and
 * could not be opened again, is suspected; its next heartbeat clears it. Pure.
 */
export interface LivenessOptions {
  /** Silence after which a peer is suspected, in ms. */
  readonly suspectAfterMs: number;
  /** Silence after which a peer is forgotten, in ms. */
  readonly forgetAfterMs: number;
}

interface PeerState {
  lastHeardMs: number;
  refused: boolean;
}

/** See the module's comment. Peers are keyed by address. */
export class PeerLiveness {
  readonly #options: LivenessOptions;
  readonly #peers = new Map<string, PeerState>();

  constructor(options: LivenessOptions) {
    this.#options = options;
  }

  /** A heartbeat arrived. */
  heard(address: string, nowMs: number): void {
    this.#peers.set(address, { lastHeardMs: nowMs, refused: false });
  }

  /** A connection to the peer was refused: nobody listens there now. */
  refused(address: string): void {
    const peer = this.#peers.get(address);
    if (peer) peer.refused = true;
  }

  /** Whether the peer counts as alive. */
  alive(address: string, nowMs: number): boolean {
    const peer = this.#peers.get(address);
    return peer !== undefined && !peer.refused && nowMs - peer.lastHeardMs < this.#options.suspectAfterMs;
  }

  /** Time since the peer was heard, in ms; undefined for one that never was. */
  silenceMs(address: string, nowMs: number): number | undefined {
    const peer = this.#peers.get(address);
    return peer && nowMs - peer.lastHeardMs;
  }

  /** Peers that have been silent for so long that they are forgotten now. */
  forgetSilent(nowMs: number): string[] {
    const forgotten: string[] = [];
    for (const [address, peer] of this.#peers) {
      if (nowMs - peer.lastHeardMs < this.#options.forgetAfterMs) continue;
      this.#peers.delete(address);
      forgotten.push(address);
    }
    return forgotten;
  }
}
