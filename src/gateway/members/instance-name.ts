/** Separates the gateway's name from the part that is unique for each start of its process. */
const SEPARATOR = "#";

/** Returns the name of the gateway that an incarnation belongs to. */
export function gatewayNameOf(instance: string): string {
  return instance.split(SEPARATOR, 1)[0] ?? instance;
}
