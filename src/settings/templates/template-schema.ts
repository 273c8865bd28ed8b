/**
 * Schemas of templates. A template defines which models, services, budget and limits a group of programs may use. One
 * document sets the defaults of a template, another one the parameters of one tenant. Both accept the same parameters, and
 * unknown keys are rejected.
 */
import * as z from "zod";
import { PRIORITY_CLASSES } from "../../scheduling/policy/effective-policy.ts";
import { durationSchema, nameSchema } from "../common-schemas.ts";

const limitsSchema = z.strictObject({
  turns: z.int().min(1).max(10_000).optional().describe("Calls of one program"),
  historyTokens: z.int().min(1).optional().describe("Tokens of one program's history"),
  completionTokens: z.int().min(1).optional().describe("Tokens that one completion may generate"),
  wallTimeMs: durationSchema.optional().describe("Time from opening to the last call, ms"),
  depth: z.int().min(0).max(16).optional().describe("Generations of child programs"),
  openPrograms: z.int().min(1).optional().describe("Open programs of the tenant on one shard"),
});

const serviceSchema = z.strictObject({
  repeatable: z
    .array(z.string().regex(/^[A-Z]+ \S+$/, "must be a method and a path, like `GET /employees/*`"))
    .default([])
    .describe("Calls that may be sent more than once; a * at the end matches any rest"),
  timeoutMs: durationSchema.default(10_000).describe("How long a call may take, ms"),
});

const parameterFields = {
  models: z.array(nameSchema).min(1).optional().describe("Models that calls may name"),
  priorityClass: z.enum(PRIORITY_CLASSES).optional().describe("How urgent the programs are"),
  weight: z.number().positive().max(1_000).optional().describe("Share of capacity against other tenants"),
  budget: z
    .strictObject({
      tokens: z.int().min(0).describe("Tokens that the tenant may spend in a window"),
      window: z.enum(["hour", "day", "total"]).default("day").describe("When the budget starts anew"),
    })
    .optional(),
  limits: limitsSchema.optional(),
  services: z.record(nameSchema, serviceSchema).optional().describe("Services that programs may call"),
  cacheKeepMs: durationSchema.optional().describe("How long cache is kept during a pause, ms"),
  deadlineMs: durationSchema.optional().describe("Deadline from opening when the caller names none, ms"),
};

/** A template with its defaults. */
export const templateDocumentSchema = z.strictObject({
  kind: z.literal("template"),
  name: nameSchema,
  ...parameterFields,
});

/** The parameters of one tenant for a template; omitted values are taken from the template. */
export const tenantDocumentSchema = z.strictObject({
  kind: z.literal("tenant"),
  template: nameSchema,
  tenant: nameSchema,
  ...parameterFields,
});

/** The state of one runner that operators request. */
export const runnerDocumentSchema = z.strictObject({
  kind: z.literal("runner"),
  name: nameSchema,
  draining: z.boolean().describe("Whether the runner takes no more work"),
});

/** Any configuration document. */
export const configurationDocumentSchema = z.discriminatedUnion("kind", [
  templateDocumentSchema,
  tenantDocumentSchema,
  runnerDocumentSchema,
]);

/** A template with its defaults. */
export type TemplateDocument = z.infer<typeof templateDocumentSchema>;
/** The parameters of one tenant. */
export type TenantDocument = z.infer<typeof tenantDocumentSchema>;
/** The state of one runner that operators request. */
export type RunnerDocument = z.infer<typeof runnerDocumentSchema>;
/** Any configuration document. */
export type ConfigurationDocument = z.infer<typeof configurationDocumentSchema>;

/** Returns the configuration key under which a document is stored. */
export function keyOfDocument(document: ConfigurationDocument): string {
  switch (document.kind) {
    case "template":
      return templateKey(document.name);
    case "tenant":
      return tenantKey(document.template, document.tenant);
    case "runner":
      return runnerKey(document.name);
  }
}

/** Returns the configuration key of a runner's document. */
export function runnerKey(runner: string): string {
  return `runner/${runner}`;
}

/** Returns the configuration key of a template. */
export function templateKey(template: string): string {
  return `template/${template}`;
}

/** Returns the configuration key of a tenant's parameters. */
export function tenantKey(template: string, tenant: string): string {
  return `tenant/${template}/${tenant}`;
}
