/**
 * Whether nothing listens at an endpoint's address any more. A host that is cut
 * off from the endpoint is refused connections as well, or gets no answer, so
 * other hosts are asked: it has crashed if it refuses one and accepts none.
 */
import { ListenerCheck } from "./probe_endpoint.ts";

/** Dependencies of a refusal check. */
export interface RefusalCheckOptions {
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  /** A host that reaches the endpoint if this one doesn't. */
  carrierFor: (address: string) => string | undefined;
  /** Tries to connect from this host. */
  checkHere: (address: string) => Promise<ListenerCheck>;
  /** Has another host try; rejects if that one does not respond. */
  checkAt: (host: string, address: string) => Promise<ListenerCheck>;
  random: () => number;
}

/** Hosts that are asked, so that one of them is likely not cut off as well. */
const MAX_HOSTS_ASKED = 3;

/** Creates the check; its promises never reject. */
export function createRefusalCheck(
  options: RefusalCheckOptions,
): (address: string) => Promise<boolean> {
  const { checkHere, checkAt } = options;
  return async (address) => {
    const here = await checkHere(address);
    if (here === ListenerCheck.Listening) return false;
    const others = await Promise.all(
      hostsToAsk(address, options).map((host) =>
        checkAt(host, address).catch(() => ListenerCheck.Unknown)
      ),
    );
    const checks = [here, ...others];
    return checks.includes(ListenerCheck.Refused) &&
      !checks.includes(ListenerCheck.Listening);
  };
}

/** The host that carries exchanges with the endpoint, if any, and random ones. */
function hostsToAsk(
  address: string,
  { self, hosts, carrierFor, random }: RefusalCheckOptions,
): string[] {
  const carrier = carrierFor(address);
  const asked = carrier === undefined ? [] : [carrier];
  const rest = hosts().filter((host) => host !== self && host !== carrier);
  while (asked.length < MAX_HOSTS_ASKED && rest.length > 0) {
    asked.push(...rest.splice(Math.floor(random() * rest.length), 1));
  }
  return asked;
}
