import type { EffectivePolicy, PolicyLimits } from "../../scheduling/policy/effective-policy.ts";
import type { TemplateDocument, TenantDocument } from "./template-schema.ts";

/** Limits that apply if neither the template nor the tenant's parameters set them. */
const DEFAULT_LIMITS: PolicyLimits = {
  turns: 240,
  historyTokens: 440_000,
  completionTokens: 4_096,
  wallTimeMs: 3_600_000,
  depth: 3,
  openPrograms: 2_000,
};

const DEFAULT_CACHE_KEEP_MS = 30_000;

/** Combines a template with a tenant's parameters; the tenant's values take precedence. */
export function resolvePolicy(template: TemplateDocument, tenant: TenantDocument): EffectivePolicy {
  return {
    tenant: tenant.tenant,
    template: template.name,
    models: tenant.models ?? template.models ?? [],
    priorityClass: tenant.priorityClass ?? template.priorityClass ?? "standard",
    weight: tenant.weight ?? template.weight ?? 1,
    budget: tenant.budget ?? template.budget ?? { tokens: 0, window: "day" },
    limits: { ...DEFAULT_LIMITS, ...omitUndefined(template.limits), ...omitUndefined(tenant.limits) },
    services: { ...template.services, ...tenant.services },
    cacheKeepMs: tenant.cacheKeepMs ?? template.cacheKeepMs ?? DEFAULT_CACHE_KEEP_MS,
    deadlineMs: tenant.deadlineMs ?? template.deadlineMs,
  };
}

function omitUndefined(limits: Partial<PolicyLimits> | undefined): Partial<PolicyLimits> {
  const entries = Object.entries(limits ?? {}).filter(([, value]) => value !== undefined);
  return Object.fromEntries(entries);
}
