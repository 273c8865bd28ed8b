/** Under which name the loads of a zone are known. */
export function loadSourceOf(zone: string): string {
  return `zone ${zone}`;
}
