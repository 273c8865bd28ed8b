/** Maximum length of an identifier in a log line, in characters. */
const MAX_LENGTH = 256;

/** The part of an identifier that is logged. Callers choose identifiers, and may choose long ones. */
export function loggedIdentifier(identifier: string): string {
  return identifier.slice(0, MAX_LENGTH);
}
