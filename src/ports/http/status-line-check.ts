/**
 * Checks the status lines of a connection's answers, those of interim answers included, by the bytes that arrive. The HTTP
 * client accepts other protocols, other versions, numbers that are no status, and any bytes in the reason phrase.
 */

/** RFC 9112, section 4; the first digit of a status is its class (RFC 9110, section 15). */
const STATUS_LINE = /^HTTP\/1\.([01]) ([1-5])\d\d [\t\x20-\x7e\x80-\xff]*$/;
const INTERIM_CLASS = "1";
const OLD_MINOR_VERSION = "0";
const LINE_END = "\r\n";
const HEAD_END = "\r\n\r\n";
const NO_BYTES = Buffer.alloc(0);

export class StatusLineCheck {
  /** Bytes that have not been checked yet. */
  #rest: Buffer = NO_BYTES;
  #isOver = true;
  #isOldVersion = false;

  /** Whether the answer is of HTTP/1.0, in which nothing but a length or the end of the connection ends an answer. */
  get isOldVersion(): boolean {
    return this.#isOldVersion;
  }

  /** Expects the answer to a request that is about to be sent. */
  reset(): void {
    this.#rest = NO_BYTES;
    this.#isOver = false;
  }

  /** Checks further bytes of the connection. Returns false if they can't be part of an answer. */
  accepts(bytes: Buffer): boolean {
    if (this.#isOver) return true;
    this.#rest = this.#rest.length === 0 ? bytes : Buffer.concat([this.#rest, bytes]);
    for (;;) {
      const lineEnd = this.#rest.indexOf(LINE_END);
      if (lineEnd < 0) return true;
      const match = STATUS_LINE.exec(this.#rest.toString("latin1", 0, lineEnd));
      if (!match) return false;
      const [, minorVersion, statusClass] = match;
      if (statusClass !== INTERIM_CLASS) return this.#finish(minorVersion === OLD_MINOR_VERSION);
      const headEnd = this.#rest.indexOf(HEAD_END, lineEnd);
      if (headEnd < 0) return true;
      this.#rest = this.#rest.subarray(headEnd + HEAD_END.length);
    }
  }

  #finish(isOldVersion: boolean): true {
    this.#isOldVersion = isOldVersion;
    this.#isOver = true;
    this.#rest = NO_BYTES;
    return true;
  }
}
