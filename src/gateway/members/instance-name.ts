/** Between a machine's name and what tells one start of its process from another. */
const SEPARATOR = "#";

/** The machine of an incarnation. */
export function gatewayNameOf(instance: string): string {
  return instance.split(SEPARATOR, 1)[0] ?? instance;
}
