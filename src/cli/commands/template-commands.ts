import { readFile } from "node:fs/promises";
import { Command, Option } from "clipanion";
import { configurationError } from "../../errors/tulipwheel-error.ts";
import type { ConfigurationEntry } from "../../messages/rpc-messages.ts";
import { systemRandom } from "../../runtime/system-random.ts";
import { type ParsedDocument, parseYaml } from "../../settings/parse-yaml.ts";
import {
  type ConfigurationDocument,
  configurationDocumentSchema,
  keyOfDocument,
} from "../../settings/templates/template-schema.ts";
import { EXIT_CODES } from "../exit-codes.ts";
import { formatTable, formatTime } from "../format-table.ts";
import type { OperatorClient } from "../operator-client.ts";
import { OperatorCommand } from "../operator-command.ts";
import { TulipwheelCommand } from "../tulipwheel-command.ts";
import { waitUntilInForce } from "../wait-until-in-force.ts";

const CHANGE_TOKEN_LENGTH = 16;
const CATEGORY = "Templates";

type Document = ParsedDocument<ConfigurationDocument>;

async function readDocuments(file: string): Promise<Document[]> {
  const text = await readFile(file, "utf8").catch((error: Error) => {
    throw configurationError("invalid-template", `${file}: cannot be read (${error.message}).`);
  });
  return parseYaml(text, file, configurationDocumentSchema, "invalid-template");
}

/** Returns the newest configuration entry of a key, if there is one. */
async function newestEntry(client: OperatorClient, key: string): Promise<ConfigurationEntry | undefined> {
  const { entries } = await client.ask("readConfiguration", { prefix: key });
  return entries.filter((entry) => entry.key === key).at(-1);
}

/** `tulipwheel template check` */
export class TemplateCheckCommand extends TulipwheelCommand {
  static override paths = [["template", "check"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Checks template files without applying them",
  });
  files = Option.Rest({ required: 1, name: "FILE" });

  protected override async run(): Promise<number> {
    const keys: string[] = [];
    for (const file of this.files)
      keys.push(...(await readDocuments(file)).map(({ value }) => keyOfDocument(value)));
    this.print({ valid: keys }, keys.map((key) => `${key}: valid`).join("\n"));
    return EXIT_CODES.done;
  }
}

/** `tulipwheel template apply` */
export class TemplateApplyCommand extends OperatorCommand {
  static override paths = [["template", "apply"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Applies template files and waits until they are in force on every node",
    details: `
      Each document is accepted only if nobody else has changed it since the version given by --base, or since this
      command looked. After a lost answer, give the same --change again: it is never applied twice.
    `,
    examples: [["Apply a file", "tulipwheel template apply pay-run.yaml --node 127.0.0.1:7101"]],
  });
  files = Option.Rest({ required: 1, name: "FILE" });
  base = Option.String("--base", { description: "Version that the change was made from" });
  change = Option.String("--change", { description: "Identifier of the change, for retries" });

  protected override async operate(client: OperatorClient): Promise<number> {
    const change = this.change ?? systemRandom().token(CHANGE_TOKEN_LENGTH);
    const applied: { key: string; version: number; alreadyApplied: boolean }[] = [];
    for (const file of this.files) {
      for (const document of await readDocuments(file))
        applied.push(await this.#apply(client, document, change));
    }
    const newest = Math.max(...applied.map(({ version }) => version));
    const waitedMs = await waitUntilInForce(client, newest);
    const lines = applied.map(({ key, version, alreadyApplied }) =>
      alreadyApplied ? `${key}: was version ${version} already` : `${key}: version ${version}`,
    );
    this.print(
      { change, applied, waitedMs },
      `${lines.join("\n")}\nin force on every node after ${waitedMs} ms`,
    );
    return EXIT_CODES.done;
  }

  async #apply(client: OperatorClient, { value, text }: Document, change: string) {
    const key = keyOfDocument(value);
    const base = this.base ? Number(this.base) : (await newestEntry(client, key))?.version;
    const request = { change: `${change}/${key}`, key, content: text, baseVersion: base ?? 0 };
    return { key, ...(await client.ask("applyConfiguration", request)) };
  }
}

/** `tulipwheel template diff` */
export class TemplateDiffCommand extends OperatorCommand {
  static override paths = [["template", "diff"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Compares a file with what is in force",
  });
  file = Option.String({ name: "FILE" });

  protected override async operate(client: OperatorClient): Promise<number> {
    const differences: { key: string; version: number; removed: string[]; added: string[] }[] = [];
    for (const { value, text } of await readDocuments(this.file)) {
      const key = keyOfDocument(value);
      const entry = await newestEntry(client, key);
      differences.push({ key, version: entry?.version ?? 0, ...diffLines(entry?.content ?? "", text) });
    }
    const text = differences.map(({ key, version, removed, added }) =>
      [
        `${key} (version ${version})`,
        ...removed.map((line) => `- ${line}`),
        ...added.map((line) => `+ ${line}`),
      ].join("\n"),
    );
    this.print(differences, text.join("\n"));
    return EXIT_CODES.done;
  }
}

/** `tulipwheel template history` */
export class TemplateHistoryCommand extends OperatorCommand {
  static override paths = [["template", "history"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Lists the accepted changes of a key",
  });
  key = Option.String({ name: "KEY", required: false });

  protected override async operate(client: OperatorClient): Promise<number> {
    const { entries } = await client.ask("readConfiguration", { prefix: this.key ?? "" });
    const rows = entries.map(({ version, atMs, key, change }) => [
      String(version),
      formatTime(atMs),
      key,
      change,
    ]);
    this.print(entries, formatTable(["VERSION", "TIME", "KEY", "CHANGE"], rows));
    return EXIT_CODES.done;
  }
}

/** `tulipwheel template list` */
export class TemplateListCommand extends OperatorCommand {
  static override paths = [["template", "list"]];
  static override usage = Command.Usage({ category: CATEGORY, description: "Lists what is in force" });

  protected override async operate(client: OperatorClient): Promise<number> {
    const { entries, version } = await client.ask("readConfiguration", { prefix: "" });
    const newest = [...new Map(entries.map((entry) => [entry.key, entry])).values()];
    const rows = newest.map((entry) => [entry.key, String(entry.version), formatTime(entry.atMs)]);
    this.print({ version, entries: newest }, formatTable(["KEY", "VERSION", "SINCE"], rows));
    return EXIT_CODES.done;
  }
}

/** Returns the lines that occur in only one of two texts. */
function diffLines(before: string, after: string): { removed: string[]; added: string[] } {
  const beforeLines = before.split("\n").filter((line) => line !== "");
  const afterLines = after.split("\n").filter((line) => line !== "");
  return {
    removed: beforeLines.filter((line) => !afterLines.includes(line)),
    added: afterLines.filter((line) => !beforeLines.includes(line)),
  };
}
