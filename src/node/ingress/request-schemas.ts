import { z } from "zod";
import { requestError } from "../../errors/tulipwheel-error.ts";
import { nameSchema } from "../../settings/common-schemas.ts";

const MAX_DEADLINE_MS = 7 * 86_400_000;

const textPartSchema = z.object({ type: z.literal("text"), text: z.string() });

const messageSchema = z.looseObject({
  role: z.enum(["system", "developer", "user", "assistant", "tool"]),
  content: z.union([
    z.string(),
    z.array(textPartSchema).transform((parts) => parts.map(({ text }) => text).join("")),
  ]),
});

/** Body of `POST /v1/programs`. */
export const openProgramSchema = z.strictObject({
  template: nameSchema,
  tenant: nameSchema.optional(),
  deadlineMs: z.int().min(1).max(MAX_DEADLINE_MS).optional(),
  parent: z.strictObject({ program: z.string(), afterCall: z.int().min(0) }).optional(),
});

/**
 * Body of `POST /v1/chat/completions`. Fields of the OpenAI API that do not affect where a call runs are ignored.
 * Unsupported fields that would change the answer are refused.
 */
export const chatCompletionSchema = z.looseObject({
  model: nameSchema,
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.int().min(1).nullish(),
  max_completion_tokens: z.int().min(1).nullish(),
  n: z.literal(1, "only one choice is supported").nullish(),
  tools: z.undefined("tools are called by the program, through /v1/services").optional(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
});

/** A checked chat completion request. */
export type ChatCompletionBody = z.infer<typeof chatCompletionSchema>;

/** Validates a body; throws `invalid-request` with every invalid field. */
export function checkBody<Schema extends z.ZodType>(schema: Schema, body: unknown): z.infer<Schema> {
  const checked = schema.safeParse(body);
  if (checked.success) return checked.data;
  const issues = checked.error.issues.map(({ path, message }) => `${path.join(".") || "body"}: ${message}`);
  throw requestError("invalid-request", `${issues.join("; ")}.`);
}

/** Parses a header that must be a positive integer; throws `invalid-request` for any other value. */
export function parsePositiveInteger(name: string, value: string | undefined): number | undefined {
  if (value === undefined) return undefined;
  if (/^[1-9]\d{0,9}$/.test(value)) return Number(value);
  throw requestError(
    "invalid-request",
    `The header ${name} must be a positive integer, not "${value.slice(0, 40)}".`,
  );
}
