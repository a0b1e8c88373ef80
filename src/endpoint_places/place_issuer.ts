/** Grants, as the issuer of some endpoints, the places at them. */
import {
  hostOfPlaceKey,
  type PlaceDecision,
  PlaceDecisionKind,
  placeKeyOf,
  PlaceLedger,
  type RampChange,
} from "./place_ledger.ts";
import type { RampReason } from "./ramp_reason.ts";
import type { PlaceReply, PlaceReport, PlaceRequest } from "./types.ts";

/** Dependencies of a {@linkcode PlaceIssuer}. */
export interface PlaceIssuerOptions {
  /** Whether this host is the issuer of an endpoint, not a substitute. */
  isIssuerOf: (endpoint: string) => boolean;
  /** Called when a ramp-up of an endpoint has begun or ended here. */
  onRampChange: (endpoint: string, change: RampChange) => void;
  now: () => number;
}

interface IssuedPlaces {
  ledger: PlaceLedger;
  used_ms: number;
  /** Resolve the requests in the queue. */
  queued: Map<string, (reply: PlaceReply) => void>;
}

/** Endpoints that no host has asked for during this time are forgotten. */
const LIFETIME_MS = 60_000;
const GRANTED: PlaceReply = {
  granted: true,
  ask_after_ms: 0,
  retry_after_ms: 0,
};

/** Grants places, for all hosts together. */
export class PlaceIssuer {
  #options: PlaceIssuerOptions;
  #endpoints = new Map<string, IssuedPlaces>();

  constructor(options: PlaceIssuerOptions) {
    this.#options = options;
  }

  /** Handles a request for a place; resolves when it is decided. */
  async handleRequest(request: PlaceRequest): Promise<PlaceReply> {
    const { isIssuerOf, now } = this.#options;
    const places = this.#placesOf(request.endpoint);
    const decision = places.ledger.request(request, {
      isSubstitute: !isIssuerOf(request.endpoint),
      now_ms: now(),
    });
    this.#tellRampChanges(request.endpoint, places);
    const reply = await this.#replyTo(decision, places, request);
    const ramping = places.ledger.isRamping(now());
    this.#tellRampChanges(request.endpoint, places);
    return ramping || request.ramp !== undefined
      ? { ...reply, ramping }
      : reply;
  }

  /** Handles a host's report of the places that it holds. */
  handleReport(report: PlaceReport): void {
    const places = this.#placesOf(report.endpoint);
    places.ledger.report(report, this.#options.now());
    this.#settle(places);
    this.#tellRampChanges(report.endpoint, places);
  }

  /** Begins a ramp-up, unless the endpoint is in one. */
  startRamp(endpoint: string, reason: RampReason): void {
    const places = this.#placesOf(endpoint);
    const now_ms = this.#options.now();
    places.ledger.startRamp(reason, { isTakeover: false, now_ms });
    this.#tellRampChanges(endpoint, places);
  }

  /** Whether an endpoint is in a ramp-up that this host looks after. */
  isRamping(endpoint: string): boolean {
    const places = this.#endpoints.get(endpoint);
    return places?.ledger.isRamping(this.#options.now()) === true;
  }

  /** Ends the ramp-ups that are over; returns whether any goes on. */
  endRamps(): boolean {
    let goesOn = false;
    for (const [endpoint, places] of this.#endpoints) {
      goesOn = places.ledger.isRamping(this.#options.now()) || goesOn;
      this.#tellRampChanges(endpoint, places);
    }
    return goesOn;
  }

  #tellRampChanges(endpoint: string, { ledger }: IssuedPlaces): void {
    for (const change of ledger.takeRampChanges()) {
      this.#options.onRampChange(endpoint, change);
    }
  }

  async #replyTo(
    decision: PlaceDecision,
    places: IssuedPlaces,
    request: PlaceRequest,
  ): Promise<PlaceReply> {
    switch (decision.kind) {
      case PlaceDecisionKind.Granted:
        return GRANTED;
      case PlaceDecisionKind.Refused:
        return decision.reply;
      case PlaceDecisionKind.Queued:
        return await this.#awaitPlace(places, request);
    }
  }

  async #awaitPlace(
    places: IssuedPlaces,
    { host, place, max_wait_ms }: PlaceRequest,
  ): Promise<PlaceReply> {
    const key = placeKeyOf(host, place);
    const { ledger, queued } = places;
    const { promise, resolve } = Promise.withResolvers<PlaceReply>();
    queued.set(key, resolve);
    this.#settle(places);
    const timer = setTimeout(() => {
      this.#settle(places);
      if (!ledger.leaveQueue(key)) return;
      resolve(ledger.refusal(host, this.#options.now()));
    }, max_wait_ms);
    const reply = await promise;
    clearTimeout(timer);
    queued.delete(key);
    return reply;
  }

  #settle({ ledger, queued }: IssuedPlaces): void {
    const now_ms = this.#options.now();
    const { granted, refused } = ledger.settle(now_ms);
    for (const key of granted) queued.get(key)?.(GRANTED);
    for (const key of refused) {
      const host = hostOfPlaceKey(key);
      queued.get(key)?.(ledger.refusal(host, now_ms));
    }
  }

  #placesOf(endpoint: string): IssuedPlaces {
    const now_ms = this.#options.now();
    for (const [other, { used_ms }] of this.#endpoints) {
      if (now_ms - used_ms < LIFETIME_MS) break;
      this.#endpoints.delete(other);
    }
    const places = this.#endpoints.get(endpoint) ??
      { ledger: new PlaceLedger(now_ms), used_ms: now_ms, queued: new Map() };
    places.used_ms = now_ms;
    // The endpoint asked for last stands last in the map.
    this.#endpoints.delete(endpoint);
    this.#endpoints.set(endpoint, places);
    return places;
  }
}
