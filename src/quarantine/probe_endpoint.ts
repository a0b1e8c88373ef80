/** Tells an endpoint that has crashed from one whose connection broke. */
import { connect } from "node:net";
import { isIpv4Address } from "../utils/ipv4_address.ts";
import { parseAddress } from "../settings/settings.ts";

const CONNECT_TIMEOUT_MS = 300;

/**
 * Resolves to whether nothing listens at the address any more; false if that
 * can't be told.
 */
export function isConnectionRefused(address: string): Promise<boolean> {
  if (!isIpv4Address(address)) return Promise.resolve(false);
  const { ip, port } = parseAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host: ip, port, timeout: CONNECT_TIMEOUT_MS });
    const finish = (refused: boolean) => {
      socket.destroy();
      resolve(refused);
    };
    socket.once("connect", () => finish(false));
    socket.once("timeout", () => finish(false));
    socket.once(
      "error",
      (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED"),
    );
  });
}
