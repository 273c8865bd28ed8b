/** A caller's connection to a gateway in memory. */
import { Duplex } from "node:stream";

/** What the caller has received, and how the connection has ended. */
export class CallerConnection extends Duplex {
  received = "";
  isReset = false;
  hasEnded = false;

  override _read(): void {}

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.received += chunk.toString("latin1");
    done();
  }

  override _final(done: () => void): void {
    this.hasEnded = true;
    done();
  }

  override _destroy(_error: Error | null, done: (error: Error | null) => void): void {
    this.hasEnded = true;
    done(null);
  }

  /** What a socket does to end its connection by a reset. */
  resetAndDestroy(): this {
    this.isReset = true;
    return this.destroy();
  }
}
