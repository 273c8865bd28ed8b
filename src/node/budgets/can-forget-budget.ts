/** ISO dates cut to the day: `2026-12-02`; see `budgetKey`. */
const DAY_LABEL_LENGTH = 10;
/** A margin that outlasts clocks that differ. */
const FORGET_AFTER_MS = 2 * 86_400_000;

/** Whether a budget's window has been over for so long that no call can belong to it any more. */
export function canForgetBudget(key: string, nowMs: number): boolean {
  const label = key.slice(key.lastIndexOf("@") + 1);
  if (label === "total") return false;
  const startIso = label.length === DAY_LABEL_LENGTH ? `${label}T00:00:00Z` : `${label}:00:00Z`;
  return nowMs - Date.parse(startIso) > FORGET_AFTER_MS;
}
