/** Length of the label of a daily window, an ISO date such as `2026-12-02`. `budgetKey` creates the labels. */
const DAY_LABEL_LENGTH = 10;
/** The age, from the start of its window, at which a budget is forgotten. It includes a margin for clock skew. */
const FORGET_AFTER_MS = 2 * 86_400_000;

/** Returns whether a budget's window ended so long ago that no call can be charged to it any more. */
export function canForgetBudget(key: string, nowMs: number): boolean {
  const label = key.slice(key.lastIndexOf("@") + 1);
  if (label === "total") return false;
  const startIso = label.length === DAY_LABEL_LENGTH ? `${label}T00:00:00Z` : `${label}:00:00Z`;
  return nowMs - Date.parse(startIso) > FORGET_AFTER_MS;
}
