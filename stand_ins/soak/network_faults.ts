/** Which links are cut, and how. */

/** What a link does to the connections that a cut concerns. */
export enum LinkFault {
  Delay = "delay",
  /** Resets the open connections and the new ones. */
  Reset = "reset",
  /** Lets the open connections live on and resets new ones. */
  Refuse = "refuse",
  /** Holds everything back until the cut ends. */
  Silent = "silent",
  SilentToServer = "silent_to_server",
  SilentToClient = "silent_to_client",
}

/** What is at the server's end of a link. */
export enum LinkGroup {
  Hosts = "hosts",
  Endpoints = "endpoints",
  Store = "store",
  /** Links from callers to hosts. */
  Callers = "callers",
}

/** Hosts that are cut off from a group. */
export interface Cut {
  /** Addresses of the hosts. */
  hosts: ReadonlySet<string>;
  toward: LinkGroup;
  fault: LinkFault;
}

/** A link as far as cuts concern it. */
export interface LinkPlace {
  group: LinkGroup;
  /** The host at the server's end of links to hosts. */
  host?: string;
}

/** The cuts that are in force. */
export class NetworkFaults {
  #cuts = new Set<Cut>();
  #listeners = new Set<() => void>();

  /** Cuts hosts off; returns what ends the cut. */
  cut(cut: Cut): () => void {
    this.#cuts.add(cut);
    this.#notify();
    return () => {
      this.#cuts.delete(cut);
      this.#notify();
    };
  }

  /** Calls the listener whenever cuts begin or end. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** The fault of a connection from this address over a link. */
  find(source: string, { group, host = "" }: LinkPlace): LinkFault | undefined {
    for (const { hosts, toward, fault } of this.#cuts) {
      if (toward !== group) continue;
      if (
        concerns(group, { fromCut: hosts.has(source), toCut: hosts.has(host) })
      ) {
        return fault;
      }
    }
    return undefined;
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}

function concerns(
  group: LinkGroup,
  { fromCut, toCut }: { fromCut: boolean; toCut: boolean },
): boolean {
  // Hosts that are cut off together reach one another.
  if (group === LinkGroup.Hosts) return fromCut !== toCut;
  return group === LinkGroup.Callers ? toCut : fromCut;
}
