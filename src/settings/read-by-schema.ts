/**
 * Reads values by a JSON Schema, and lays in its defaults: for processes that have to start with little work, whose settings
 * are valid nearly always. What is wrong with a value is not said; the library that the schema was made by does that. Only
 * the keywords that it writes for settings are known: a schema with others reads nothing.
 */

/** The part of JSON Schema that settings need. */
export interface JsonSchema {
  readonly type?: string;
  readonly default?: unknown;
  readonly properties?: { readonly [key: string]: JsonSchema };
  readonly required?: readonly string[];
  readonly additionalProperties?: boolean;
  readonly items?: JsonSchema;
  readonly enum?: readonly unknown[];
  readonly pattern?: string;
  readonly minimum?: number;
  readonly maximum?: number;
}

type JsonObject = Readonly<Record<string, unknown>>;

const KEYWORDS: ReadonlySet<string> = new Set([
  "$schema",
  "description",
  "type",
  "default",
  "properties",
  "required",
  "additionalProperties",
  "items",
  "enum",
  "pattern",
  "minimum",
  "maximum",
]);

/** Thrown where a value or its schema is not understood. */
class Unread extends Error {}

/** A value with its defaults; undefined when it is not valid, or the schema is not understood. */
export function readBySchema(value: unknown, schema: JsonSchema): unknown {
  try {
    return read(value, schema);
  } catch (error) {
    if (error instanceof Unread) return undefined;
    throw error;
  }
}

function read(value: unknown, schema: JsonSchema): unknown {
  for (const keyword of Object.keys(schema)) demand(KEYWORDS.has(keyword));
  switch (schema.type) {
    case "object":
      return readObject(value, schema);
    case "array":
      return readArray(value, schema);
    case "string":
      return readString(value, schema);
    case "integer":
    case "number":
      return readNumber(value, schema);
    case "boolean":
      demand(typeof value === "boolean");
      return value;
    default:
      throw new Unread();
  }
}

function readObject(value: unknown, schema: JsonSchema): JsonObject {
  const { properties = {}, required = [], additionalProperties } = schema;
  demand(additionalProperties === false);
  demand(typeof value === "object" && value !== null && !Array.isArray(value));
  const given = value as JsonObject;
  for (const key of Object.keys(given)) demand(Object.hasOwn(properties, key));
  const result: Record<string, unknown> = {};
  for (const [key, inner] of Object.entries(properties)) {
    const member = given[key] === undefined ? inner.default : given[key];
    if (member !== undefined) result[key] = read(member, inner);
    else demand(!required.includes(key));
  }
  return result;
}

function readArray(value: unknown, { items }: JsonSchema): unknown[] {
  if (!Array.isArray(value) || !items) throw new Unread();
  return value.map((item) => read(item, items));
}

function readString(value: unknown, { pattern, enum: allowed }: JsonSchema): string {
  if (typeof value !== "string") throw new Unread();
  if (pattern !== undefined) demand(new RegExp(pattern, "u").test(value));
  if (allowed) demand(allowed.includes(value));
  return value;
}

function readNumber(value: unknown, { type, minimum, maximum }: JsonSchema): number {
  if (typeof value !== "number") throw new Unread();
  demand(type === "integer" ? Number.isSafeInteger(value) : Number.isFinite(value));
  demand(minimum === undefined || value >= minimum);
  demand(maximum === undefined || value <= maximum);
  return value;
}

function demand(holds: boolean): void {
  if (!holds) throw new Unread();
}
