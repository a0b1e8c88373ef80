/** Checks addresses that come from outside. */
import { isIPv4 } from "node:net";

const MAX_PORT = 65_535;
const PORT_PATTERN = /^[1-9]\d{0,4}$/;

/** Whether a text is an IPv4 address and a port, as `ip:port`. */
export function isIpv4Address(text: string): boolean {
  const [ip = "", port = "", ...rest] = text.split(":");
  return rest.length === 0 && isIPv4(ip) && PORT_PATTERN.test(port) &&
    Number(port) <= MAX_PORT;
}
