import { requestError } from "../../errors/tulipwheel-error.ts";
import type {
  ApplyConfigurationRequest,
  ApplyConfigurationResponse,
  ConfigurationEntry,
} from "../../messages/rpc-messages.ts";
import type { Row, TableStore, TransactionResult } from "../../ports/table/table-store.ts";
import type { Clock } from "../../runtime/clock.ts";
import { delay } from "../../runtime/clock.ts";

const HEAD_KEY = "configuration/head";
const ENTRY_PREFIX = "configuration/entry/";
const VERSION_DIGITS = 10;
const PAGE_SIZE = 200;
const MAX_ATTEMPTS = 8;
const RETRY_DELAY_MS = 50;

/** The table row of a configuration key: the version of its newest entry. */
interface KeyRow {
  readonly version: number;
}

/** The table row of a change: the version that the change was assigned. */
interface ChangeRow {
  readonly version: number;
}

/**
 * The chain of accepted changes in the platform's table. One transaction writes the entry, advances the head and stores
 * the identifier of the change. A change whose response was lost can therefore be retried and is never applied twice.
 */
export class ConfigurationTable {
  readonly #table: TableStore;
  readonly #clock: Clock;

  constructor(table: TableStore, clock: Clock) {
    this.#table = table;
    this.#clock = clock;
  }

  /** Returns the newest accepted version. */
  async newestVersion(): Promise<number> {
    return versionIn(await this.#table.get(HEAD_KEY));
  }

  /** Returns the entries after a version, in order. */
  async entriesAfter(version: number): Promise<readonly ConfigurationEntry[]> {
    const rows = await this.#table.list(ENTRY_PREFIX, entryKey(version), PAGE_SIZE);
    return rows.map((row) => JSON.parse(row.value) as ConfigurationEntry);
  }

  /** Applies a change. Throws `configuration-conflict` if the key was changed after `baseVersion`. */
  async apply(request: ApplyConfigurationRequest): Promise<ApplyConfigurationResponse> {
    for (let attempt = 1; ; attempt++) {
      try {
        const applied = await this.#tryApply(request);
        if (applied) return applied;
      } catch (error) {
        if (attempt >= MAX_ATTEMPTS || isConflict(error)) throw error;
      }
      if (attempt >= MAX_ATTEMPTS)
        throw requestError("unavailable", "Too many changes are being applied at once.");
      await delay(this.#clock, RETRY_DELAY_MS * attempt);
    }
  }

  /** Makes one attempt. Returns undefined if a concurrent change made the transaction conflict. */
  async #tryApply(request: ApplyConfigurationRequest): Promise<ApplyConfigurationResponse | undefined> {
    const changeRow = await this.#table.get(changeKey(request.change));
    if (changeRow.version > 0) return { version: versionIn(changeRow), alreadyApplied: true };
    const head = await this.#table.get(HEAD_KEY);
    const keyRow = await this.#table.get(rowKey(request.key));
    checkBaseVersion(request, versionIn(keyRow));
    const version = versionIn(head) + 1;
    const result = await this.#write(request, version, head, keyRow);
    return result.type === "committed" ? { version, alreadyApplied: false } : undefined;
  }

  #write(
    request: ApplyConfigurationRequest,
    version: number,
    head: Row,
    keyRow: Row,
  ): Promise<TransactionResult> {
    const entry: ConfigurationEntry = {
      version,
      change: request.change,
      atMs: this.#clock.wallMs(),
      key: request.key,
      content: request.content,
    };
    const versionRow = JSON.stringify({ version });
    return this.#table.transact({
      conditions: [
        { key: HEAD_KEY, version: head.version },
        { key: rowKey(request.key), version: keyRow.version },
        { key: changeKey(request.change), version: 0 },
      ],
      writes: [
        { key: HEAD_KEY, value: versionRow },
        { key: entryKey(version), value: JSON.stringify(entry) },
        { key: rowKey(request.key), value: versionRow },
        { key: changeKey(request.change), value: versionRow },
      ],
    });
  }
}

function checkBaseVersion(request: ApplyConfigurationRequest, current: number): void {
  if (current === request.baseVersion) return;
  throw requestError(
    "configuration-conflict",
    `${request.key} is at version ${current}, and the change was made from version ${request.baseVersion}.`,
  );
}

function isConflict(error: unknown): boolean {
  const problem = (error as { problem?: { kind: string } }).problem;
  return problem?.kind === "configuration-conflict";
}

function versionIn(row: Row): number {
  return row.version === 0 ? 0 : (JSON.parse(row.value) as KeyRow | ChangeRow).version;
}

function entryKey(version: number): string {
  return ENTRY_PREFIX + String(version).padStart(VERSION_DIGITS, "0");
}

function rowKey(key: string): string {
  return `configuration/key/${key}`;
}

function changeKey(change: string): string {
  return `configuration/change/${change}`;
}
