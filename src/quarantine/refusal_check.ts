/**
 * Whether nothing listens at an endpoint's address any more. A host that is cut
 * off from the endpoint is refused connections as well, so what it sees counts
 * only if no other host can connect. While it knows that the endpoint is out of
 * its reach, it goes by the hosts that carry its requests there.
 */
import { ConnectionAttempt } from "./probe_endpoint.ts";

/** Dependencies of a refusal check. */
export interface RefusalCheckOptions {
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  /** Whether connections of this host to an address are refused. */
  isRefusedHere: (address: string) => Promise<boolean>;
  /** The same at another host; rejects if that one does not respond. */
  isRefusedAt: (host: string, address: string) => Promise<boolean>;
  /**
   * Hosts that reach the endpoint at an address while this one doesn't; undefined
   * if it isn't out of this host's reach.
   */
  carriersOf: (address: string) => readonly string[] | undefined;
  random: () => number;
}

/** Hosts that are asked, so that one of them is likely not cut off as well. */
const MAX_HOSTS_ASKED = 3;

/** Creates the check; its promises never reject. */
export function createRefusalCheck(
  options: RefusalCheckOptions,
): (address: string) => Promise<boolean> {
  const { self, hosts, isRefusedHere, isRefusedAt, random } = options;
  const ask = (others: readonly string[], address: string) =>
    Promise.all(
      sampleHosts(others, MAX_HOSTS_ASKED, random).map((host) =>
        // A host that doesn't respond says nothing.
        isRefusedAt(host, address).catch(() => undefined)
      ),
    );
  return async (address) => {
    const carriers = options.carriersOf(address);
    if (carriers !== undefined) {
      const answers = await ask(carriers, address);
      return answers.includes(true) && !answers.includes(false);
    }
    if (!await isRefusedHere(address)) return false;
    const others = hosts().filter((host) => host !== self);
    return !(await ask(others, address)).includes(false);
  };
}

/** Up to `count` of the hosts, each as likely as any other. */
function sampleHosts(
  hosts: readonly string[],
  count: number,
  random: () => number,
): string[] {
  const rest = [...hosts];
  const sample: string[] = [];
  while (sample.length < count && rest.length > 0) {
    sample.push(...rest.splice(Math.floor(random() * rest.length), 1));
  }
  return sample;
}

/** Dependencies of a {@linkcode createRefusalAnswer}. */
export interface RefusalAnswerOptions {
  /** Whether an endpoint is in service at an address. */
  isKnown: (address: string) => boolean;
  /** Whether others reach the endpoint at an address and this host doesn't. */
  isOutOfReach: (address: string) => boolean;
  attempt: (address: string) => Promise<ConnectionAttempt>;
}

/**
 * Creates the function that tells other hosts whether an endpoint refuses this
 * one; it rejects if this host can't tell.
 */
export function createRefusalAnswer(
  { isKnown, isOutOfReach, attempt }: RefusalAnswerOptions,
): (address: string) => Promise<boolean> {
  return async (address) => {
    if (!isKnown(address)) return true;
    const result = isOutOfReach(address)
      ? ConnectionAttempt.Unknown
      : await attempt(address);
    if (result === ConnectionAttempt.Unknown) {
      throw new Error("This host can't tell; ask another one");
    }
    return result === ConnectionAttempt.Refused;
  };
}
