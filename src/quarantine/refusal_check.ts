/**
 * Whether nothing listens at an endpoint's address any more. A host that is cut
 * off from the endpoint is refused connections as well, so what it sees counts
 * only if no other host can connect.
 */

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
  random: () => number;
}

/** Hosts that are asked, so that one of them is likely not cut off as well. */
const MAX_HOSTS_ASKED = 3;

/** Creates the check; its promises never reject. */
export function createRefusalCheck(
  options: RefusalCheckOptions,
): (address: string) => Promise<boolean> {
  const { self, hosts, isRefusedHere, isRefusedAt, random } = options;
  return async (address) => {
    if (!await isRefusedHere(address)) return false;
    const others = hosts().filter((host) => host !== self);
    const asked = sampleHosts(others, MAX_HOSTS_ASKED, random);
    const answers = await Promise.all(
      // A host that doesn't respond says nothing against the refusal here.
      asked.map((host) => isRefusedAt(host, address).catch(() => true)),
    );
    return answers.every((refused) => refused);
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
