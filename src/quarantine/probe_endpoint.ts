/** Tells an endpoint that has crashed from one whose connection broke. */
import { connect } from "node:net";
import { isIpv4Address } from "../utils/ipv4_address.ts";
import { parseAddress } from "../settings/settings.ts";

const CONNECT_TIMEOUT_MS = 300;

/** What came of an attempt to connect. */
export enum ConnectionAttempt {
  Accepted = "accepted",
  /** Nothing listens there. */
  Refused = "refused",
  /** Neither came in time, or the way failed. */
  Unknown = "unknown",
}

/** Tries to connect; never rejects. */
export function attemptConnection(address: string): Promise<ConnectionAttempt> {
  if (!isIpv4Address(address)) {
    return Promise.resolve(ConnectionAttempt.Unknown);
  }
  const { ip, port } = parseAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host: ip, port, timeout: CONNECT_TIMEOUT_MS });
    const finish = (attempt: ConnectionAttempt) => {
      socket.destroy();
      resolve(attempt);
    };
    socket.once("connect", () => finish(ConnectionAttempt.Accepted));
    socket.once("timeout", () => finish(ConnectionAttempt.Unknown));
    socket.once(
      "error",
      ({ code }: NodeJS.ErrnoException) =>
        finish(
          code === "ECONNREFUSED"
            ? ConnectionAttempt.Refused
            : ConnectionAttempt.Unknown,
        ),
    );
  });
}
