/** Returns the name under which the summed loads of a zone are reported. */
export function zoneLoadSource(zone: string): string {
  return `zone ${zone}`;
}
