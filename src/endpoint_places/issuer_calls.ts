/** Calls of a host to the issuers of endpoints, which may be the host itself. */
import type { Logger } from "../logging/logger.ts";
import { RankedHosts } from "../membership/ranked_hosts.ts";
import {
  type PlaceReply,
  placeReplySchema,
  type PlaceReport,
  type PlaceRequest,
} from "./types.ts";

/** Calls to other hosts; they reject if the host does not respond. */
export interface EndpointPlacesPeers {
  requestPlace(address: string, request: PlaceRequest): Promise<PlaceReply>;
  reportPlaces(address: string, report: PlaceReport): Promise<void>;
}

/** Dependencies of {@linkcode IssuerCalls}. */
export interface IssuerCallsOptions {
  /** Address of this host. */
  self: string;
  /** Addresses of all hosts, this one included. */
  hosts: () => string[];
  peers: EndpointPlacesPeers;
  /** Handles a request of this host, as the issuer. */
  handleRequest: (request: PlaceRequest) => Promise<PlaceReply>;
  /** Handles a report of this host, as the issuer. */
  handleReport: (report: PlaceReport) => void;
  log: Logger;
  now: () => number;
}

/** Requests of this host that may ask for a place at an endpoint at a time. */
const MAX_ASKING = 2;
/** Hosts that are asked for a place, or told of one, before it is given up. */
const MAX_ISSUER_TRIES = 1;
/** Time in which the issuer of an endpoint in ramp-up must reply. */
const RAMP_REPLY_MS = 150;
/** Added to the time that a request may wait at the issuer. */
const RAMP_REPLY_MARGIN_MS = 50;
/** Reply if no host could be asked. */
export const NO_ISSUER: PlaceReply = {
  granted: false,
  ask_after_ms: 500,
  retry_after_ms: 500,
};

/** Asks the issuers for places, and reports to them. */
export class IssuerCalls {
  #options: IssuerCallsOptions;
  #rankedHosts: RankedHosts;
  /** Requests of this host that ask for a place, by endpoint. */
  #asking = new Map<string, number>();

  constructor(options: IssuerCallsOptions) {
    this.#options = options;
    this.#rankedHosts = new RankedHosts(options);
  }

  /** Whether a request of this host asks for a place at an endpoint. */
  isAsking(incarnation: string): boolean {
    return this.#asking.has(incarnation);
  }

  /** Whether a further request may ask for a place at an endpoint. */
  mayAsk(incarnation: string): boolean {
    return (this.#asking.get(incarnation) ?? 0) < MAX_ASKING;
  }

  /** Asks for a place; resolves to `NO_ISSUER` if no host replies. */
  async request(request: PlaceRequest): Promise<PlaceReply> {
    const { peers, handleRequest } = this.#options;
    this.#countAsking(request.endpoint, 1);
    const [reply] = await this.#rankedHosts.call({
      key: request.endpoint,
      count: 1,
      max_tries: MAX_ISSUER_TRIES,
      local: () => handleRequest(request),
      remote: async (issuer) =>
        placeReplySchema.parse(await peers.requestPlace(issuer, request)),
    });
    this.#countAsking(request.endpoint, -1);
    return reply ?? NO_ISSUER;
  }

  /**
   * Asks for a place; resolves to `NO_ISSUER` if no host replies in time.
   * `onLateGrant` is called if the place is granted later.
   */
  async requestInTime(
    request: PlaceRequest,
    onLateGrant: () => void,
  ): Promise<PlaceReply> {
    const wait_ms = Math.max(
      RAMP_REPLY_MS,
      request.max_wait_ms + RAMP_REPLY_MARGIN_MS,
    );
    const asked = this.request(request);
    const { promise, resolve } = Promise.withResolvers<"late">();
    const timer = setTimeout(() => resolve("late"), wait_ms);
    const reply = await Promise.race([asked, promise]);
    clearTimeout(timer);
    if (reply !== "late") return reply;
    void asked.then(({ granted }) => {
      if (granted) onLateGrant();
    });
    return NO_ISSUER;
  }

  /** Tells the issuer of an endpoint what this host has in flight there. */
  report(report: PlaceReport): void {
    const { peers, handleReport } = this.#options;
    void this.#rankedHosts.call({
      key: report.endpoint,
      count: 1,
      max_tries: MAX_ISSUER_TRIES,
      local: () => handleReport(report),
      remote: (issuer) => peers.reportPlaces(issuer, report),
    });
  }

  #countAsking(incarnation: string, change: number): void {
    const count = (this.#asking.get(incarnation) ?? 0) + change;
    if (count === 0) this.#asking.delete(incarnation);
    else this.#asking.set(incarnation, count);
  }
}
