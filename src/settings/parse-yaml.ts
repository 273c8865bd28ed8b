import { LineCounter, parseAllDocuments, type YAMLMap } from "yaml";
import type { z } from "zod";
import type { ErrorKindName } from "../errors/error-kinds.ts";
import { configurationError } from "../errors/tulipwheel-error.ts";

/** A valid document with its source text. */
export interface ParsedDocument<Value> {
  readonly value: Value;
  readonly text: string;
}

/**
 * Parses YAML and validates every document against a schema.
 * Throws a `ConfigurationError` that lists all errors with file and line, and the remedy.
 */
export function parseYaml<Schema extends z.ZodType>(
  text: string,
  file: string,
  schema: Schema,
  kind: ErrorKindName,
): ParsedDocument<z.infer<Schema>>[] {
  const lineCounter = new LineCounter();
  const documents = parseAllDocuments(text, { lineCounter, prettyErrors: false });
  if (!Array.isArray(documents) || documents.length === 0)
    throw configurationError(kind, `${file}: is empty.`);
  const problems: string[] = [];
  const parsed: ParsedDocument<z.infer<Schema>>[] = [];
  for (const document of documents) {
    const lineOf = (offset: number | undefined) => lineCounter.linePos(offset ?? 0).line;
    for (const error of document.errors) problems.push(`${file}:${lineOf(error.pos[0])}: ${error.message}`);
    if (document.errors.length > 0) continue;
    const checked = schema.safeParse(document.toJS());
    if (checked.success) parsed.push({ value: checked.data, text: document.toString() });
    else {
      for (const issue of checked.error.issues) {
        const line = lineOf(offsetOfPath(document.contents, issue.path));
        problems.push(`${file}:${line}: ${issue.path.join(".") || "document"}: ${issue.message}`);
      }
    }
  }
  if (problems.length > 0) throw configurationError(kind, `${problems.join("\n")}\n`);
  return parsed;
}

/** Returns the offset of the value at a path, or of its innermost ancestor that exists. */
function offsetOfPath(root: unknown, path: readonly PropertyKey[]): number | undefined {
  let node = root as YAMLMap | undefined;
  let offset = node?.range?.[0];
  for (const key of path) {
    const next = node?.get?.(key, true) as YAMLMap | undefined;
    if (!next) break;
    node = next;
    offset = next.range?.[0] ?? offset;
  }
  return offset;
}
