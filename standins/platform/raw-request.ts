/** What a raw request says of itself. */
export interface RawCall {
  readonly id: string;
  /** The version of HTTP that the caller knows. */
  readonly version: "1.0" | "1.1";
  /** Undefined if it belongs to no program. */
  readonly program: string | undefined;
}

/** A caller's request without a body, as it is sent over a connection. */
export function rawRequestText({ id, version, program }: RawCall): string {
  const lines = [`POST / HTTP/${version}`, "Host: h", `X-Request-Id: ${id}`, "Content-Length: 0"];
  if (program !== undefined) lines.push(`X-Program-Id: ${program}`);
  return `${lines.join("\r\n")}\r\n\r\n`;
}
