/**
 * Which hosts keep the record of a stream. All hosts choose alike, from the
 * attempt's id and the list of hosts.
 */
import { rankCandidates } from "../membership/rendezvous_hash.ts";

/** Hosts that keep a copy of each record. */
const KEEPERS = 2;
/** Hosts that store records, however many there are. */
const WRITERS = 8;

/** Hosts that are asked to keep the record of a stream. */
export interface Keepers {
  keepers: string[];
  /** Takes the place of one that doesn't respond; undefined if none is left. */
  spare: string | undefined;
}

/** Dependencies of {@linkcode OriginKeepers}. */
export interface OriginKeepersOptions {
  /** Address at which peers reach this host. */
  self: string;
  /** Addresses of all hosts. */
  hosts: () => readonly string[];
}

/** Chooses the hosts that keep records. */
export class OriginKeepers {
  #options: OriginKeepersOptions;
  /** The hosts that store records, and the joined list they were ranked from. */
  #writers: { hosts: string; order: string[] } = { hosts: "", order: [] };

  constructor(options: OriginKeepersOptions) {
    this.#options = options;
  }

  /** The host that stores the record of a stream, and others. */
  of(key: string): Keepers {
    const { self, hosts } = this.#options;
    const ranked = rankCandidates(key, hosts());
    const others = [...new Set([this.writerOf(key), ...ranked])]
      .filter((address) => address !== self);
    return { keepers: others.slice(0, KEEPERS), spare: others[KEEPERS] };
  }

  /** The host that stores the record of a stream. */
  writerOf(key: string): string {
    const { self, hosts } = this.#options;
    const all = hosts();
    const joined = all.join();
    if (joined !== this.#writers.hosts) {
      const order = rankCandidates("stored_origins", all).slice(0, WRITERS);
      this.#writers = { hosts: joined, order };
    }
    return rankCandidates(key, this.#writers.order)[0] ?? self;
  }
}
