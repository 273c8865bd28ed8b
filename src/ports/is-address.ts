import { isIPv4 } from "node:net";

const ADDRESS_PATTERN = /^([\d.]+):(\d{1,5})$/;
const MAX_PORT = 65_535;

/** Whether a value is an address that can be connected to: an IPv4 address and a port, as `IP:port`. */
export function isAddress(value: unknown): value is string {
  const [, ip = "", port] = (typeof value === "string" && ADDRESS_PATTERN.exec(value)) || [];
  return isIPv4(ip) && Number(port) > 0 && Number(port) <= MAX_PORT;
}
