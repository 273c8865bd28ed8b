/** The period after which a budget is renewed; `total` budgets are never renewed. */
export type BudgetWindow = "hour" | "day" | "total";

/** Length of an ISO time truncated to the hour, such as `2026-12-02T07`. */
const HOUR_LENGTH = 13;
/** Length of an ISO time truncated to the day, such as `2026-12-02`. */
const DAY_LENGTH = 10;

/**
 * Returns the name of a tenant's budget for a template, in the window that contains `isoTime`.
 * A call belongs to the window in which it was reserved.
 */
export function budgetKey(tenant: string, template: string, window: BudgetWindow, isoTime: string): string {
  return `${tenant}/${template}@${windowLabel(window, isoTime)}`;
}

function windowLabel(window: BudgetWindow, isoTime: string): string {
  if (window === "total") return "total";
  return isoTime.slice(0, window === "hour" ? HOUR_LENGTH : DAY_LENGTH);
}
