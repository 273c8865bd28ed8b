/**
 * Validates values against a JSON Schema and fills in its defaults. It is for processes that must start quickly and whose
 * settings are almost always valid. It doesn't report what is wrong with an invalid value; the library that generated the
 * schema does that. Only the keywords that the library generates for settings are supported: a schema with any other keyword
 * rejects every value.
 */

/** The subset of JSON Schema that settings use. */
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

const SUPPORTED_KEYWORDS: ReadonlySet<string> = new Set([
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

/** Thrown when a value is invalid or its schema is not supported. */
class SchemaMismatchError extends Error {}

/** Returns a value with its defaults filled in; undefined if it is invalid or the schema is not supported. */
export function readBySchema(value: unknown, schema: JsonSchema): unknown {
  try {
    return read(value, schema);
  } catch (error) {
    if (error instanceof SchemaMismatchError) return undefined;
    throw error;
  }
}

function read(value: unknown, schema: JsonSchema): unknown {
  for (const keyword of Object.keys(schema)) ensure(SUPPORTED_KEYWORDS.has(keyword));
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
      ensure(typeof value === "boolean");
      return value;
    default:
      throw new SchemaMismatchError();
  }
}

function readObject(value: unknown, schema: JsonSchema): JsonObject {
  const { properties = {}, required = [], additionalProperties } = schema;
  ensure(additionalProperties === false);
  ensure(typeof value === "object" && value !== null && !Array.isArray(value));
  const input = value as JsonObject;
  for (const key of Object.keys(input)) ensure(Object.hasOwn(properties, key));
  const result: Record<string, unknown> = {};
  for (const [key, propertySchema] of Object.entries(properties)) {
    const propertyValue = input[key] === undefined ? propertySchema.default : input[key];
    if (propertyValue !== undefined) result[key] = read(propertyValue, propertySchema);
    else ensure(!required.includes(key));
  }
  return result;
}

function readArray(value: unknown, { items }: JsonSchema): unknown[] {
  if (!Array.isArray(value) || !items) throw new SchemaMismatchError();
  return value.map((item) => read(item, items));
}

function readString(value: unknown, { pattern, enum: allowed }: JsonSchema): string {
  if (typeof value !== "string") throw new SchemaMismatchError();
  if (pattern !== undefined) ensure(new RegExp(pattern, "u").test(value));
  if (allowed) ensure(allowed.includes(value));
  return value;
}

function readNumber(value: unknown, { type, minimum, maximum }: JsonSchema): number {
  if (typeof value !== "number") throw new SchemaMismatchError();
  ensure(type === "integer" ? Number.isSafeInteger(value) : Number.isFinite(value));
  ensure(minimum === undefined || value >= minimum);
  ensure(maximum === undefined || value <= maximum);
  return value;
}

function ensure(condition: boolean): void {
  if (!condition) throw new SchemaMismatchError();
}
