import { type ChildProcess, spawn } from "node:child_process";
import { readFile } from "node:fs/promises";
import { createInterface } from "node:readline";

const BYTES_PER_KILOBYTE = 1_024;

/** A process of ours that a test started, and will end. */
export class StartedProcess {
  readonly #child: ChildProcess;
  readonly #stderrParts: string[] = [];
  readonly #stdoutParts: string[] = [];
  readonly exited: Promise<number | null>;

  constructor(script: string, args: readonly string[], environment: Record<string, string> = {}) {
    this.#child = spawn(process.execPath, ["--import", "tsx", script, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...environment },
    });
    this.exited = new Promise((resolve) => this.#child.once("exit", (code) => resolve(code)));
    this.#child.stderr?.on("data", (part) => this.#stderrParts.push(String(part)));
  }

  /** Reads the line in which a process says where it is reached. */
  async firstLine(): Promise<Record<string, string>> {
    const lines = createInterface({ input: this.#child.stdout as NodeJS.ReadableStream });
    for await (const line of lines) return JSON.parse(line) as Record<string, string>;
    throw new Error(`The process ended before it said where it is reached: ${this.log}`);
  }

  /** Everything that the process writes to standard output, once it has ended. */
  async output(): Promise<string> {
    let text = "";
    for await (const part of this.#child.stdout as NodeJS.ReadableStream) text += part;
    return text;
  }

  /** Keeps what the process writes to standard output, for {@link collectedOutput}. */
  collectOutput(): this {
    this.#child.stdout?.on("data", (part) => this.#stdoutParts.push(String(part)));
    return this;
  }

  /** Reads no more of what the process writes, as a reader that stalls. */
  stopReadingOutput(): void {
    this.#child.stdout?.removeAllListeners("data");
    this.#child.stdout?.pause();
  }

  /** The resident memory of the process that it shares with no other, in bytes. */
  async memoryBytes(): Promise<number> {
    const status = await readFile(`/proc/${this.#child.pid}/status`, "utf8");
    return Number(/RssAnon:\s+(\d+)/.exec(status)?.[1]) * BYTES_PER_KILOBYTE;
  }

  /** What was collected of standard output, and what the process wrote to standard error. */
  get collectedOutput(): string {
    return this.#stdoutParts.join("") + this.log;
  }

  /** What the process wrote to standard error. */
  get log(): string {
    return this.#stderrParts.join("");
  }

  /** Whether the process has ended. */
  get ended(): boolean {
    return this.#child.exitCode !== null || this.#child.signalCode !== null;
  }

  /** Sends a signal to this process alone. */
  signal(name: NodeJS.Signals): void {
    this.#child.kill(name);
  }

  /** Ends the process at once, if it still runs. */
  async kill(): Promise<void> {
    if (!this.ended) this.#child.kill("SIGKILL");
    await this.exited;
  }
}
