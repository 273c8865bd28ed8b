/** Under which name the loads of a zone are known. */
export function zoneLoadSource(zone: string): string {
  return `zone ${zone}`;
}
