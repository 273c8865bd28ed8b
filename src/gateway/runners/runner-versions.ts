/** What this gateway knows of the software versions of runners: the listed ones, those before, and how sure it is. */
import type { RunnerId } from "../../scheduling/ids/runner-id.ts";
import type { RunnerName } from "../../scheduling/ids/runner-name.ts";
import type { SoftwareVersion } from "../../scheduling/ids/software-version.ts";
import type { RunnerEntry } from "../../scheduling/runner-balancing/runner-entry.ts";
import { RestartDoubts, VersionHistory } from "../../scheduling/stream-versions/index.ts";

/** A runner by its name, and the version that it is believed to run. */
export interface VersionedRunner {
  readonly name: RunnerName;
  readonly version: SoftwareVersion;
}

export class RunnerVersions {
  readonly #listed: ReadonlyMap<RunnerName, RunnerEntry>;
  readonly #history: VersionHistory;
  readonly #doubts = new RestartDoubts();
  /** Called each time the list has been read. */
  onListRead: () => void = () => undefined;
  /** Brings the list up to date; resolves to whether it was possible. */
  confirmList: () => Promise<boolean> = () => Promise.resolve(false);

  /**
   * @param listed the listed runners, by name
   * @param maxGapMs maximum time between two reads of the list for them to show every version, in ms
   */
  constructor(listed: ReadonlyMap<RunnerName, RunnerEntry>, maxGapMs: number) {
    this.#listed = listed;
    this.#history = new VersionHistory(maxGapMs);
  }

  /** Records that the listed runners are those of the list as it was at or after `readAtMs`. */
  recordList(readAtMs: number): void {
    this.#history.recordList([...this.#listed.values()], readAtMs);
    this.onListRead();
  }

  /** Records an entry that a start of a runner has written at or after `writtenAfterMs`. */
  recordEntry(id: RunnerId, writtenAfterMs: number): void {
    this.#doubts.recordEntry(id, writtenAfterMs);
  }

  /** Records that a runner has ended a connection. */
  recordConnectionEnd(id: RunnerId, nowMs: number): void {
    this.#doubts.recordEnd(id, nowMs);
  }

  /** Forgets a start of a runner that is no longer listed. */
  remove(id: RunnerId): void {
    this.#doubts.remove(id);
  }

  /** The only version that the runners of a pool have had for `spanMs`; undefined if there were others or it is not known. */
  onlyVersion(pool: string, spanMs: number, nowMs: number): SoftwareVersion | undefined {
    return this.#history.onlyVersion(pool, spanMs, nowMs);
  }

  /** Whether the runners of a pool are known to have had another version within the last `spanMs`. */
  hasSeenOther(pool: string, version: SoftwareVersion, spanMs: number, nowMs: number): boolean {
    return this.#history.hasSeenOther(pool, version, spanMs, nowMs);
  }

  /** Whether a runner still runs the version that its entry states, as far as this gateway can tell. */
  isSure({ id, name, version, startedAtMs }: RunnerEntry): boolean {
    // A runner whose entry names no start never starts again under the same name.
    const mayHaveRestarted = startedAtMs !== undefined && this.#doubts.mayHaveRestarted(id);
    return !mayHaveRestarted && !this.isReplaced({ name, version });
  }

  /** Whether a runner has started again with another version. Its last events may be of either one. */
  isReplaced({ name, version }: VersionedRunner): boolean {
    const listed = this.#listed.get(name);
    return listed !== undefined && listed.version !== version;
  }
}
