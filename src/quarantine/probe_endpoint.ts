/** Tells an endpoint that has crashed from one whose connection broke. */
import { connect } from "node:net";
import { isIpv4Address } from "../utils/ipv4_address.ts";
import { parseAddress } from "../settings/settings.ts";

/** What an attempt to connect tells of a listener. */
export enum ListenerCheck {
  Listening = "listening",
  /** Nothing listens at the address any more, or the way there refuses. */
  Refused = "refused",
  /** No answer, or another failure. */
  Unknown = "unknown",
}

const CONNECT_TIMEOUT_MS = 300;

/** Tries to connect to an address; never rejects. */
export function checkListener(address: string): Promise<ListenerCheck> {
  if (!isIpv4Address(address)) return Promise.resolve(ListenerCheck.Unknown);
  const { ip, port } = parseAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host: ip, port, timeout: CONNECT_TIMEOUT_MS });
    const finish = (check: ListenerCheck) => {
      socket.destroy();
      resolve(check);
    };
    socket.once("connect", () => finish(ListenerCheck.Listening));
    socket.once("timeout", () => finish(ListenerCheck.Unknown));
    socket.once(
      "error",
      (error: NodeJS.ErrnoException) =>
        finish(
          error.code === "ECONNREFUSED"
            ? ListenerCheck.Refused
            : ListenerCheck.Unknown,
        ),
    );
  });
}
