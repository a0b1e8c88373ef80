/** Prometheus metrics of a gateway host's forwarded requests. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { FeedPosition } from "../store_sync/feed_position.ts";

const LATENCY_BUCKETS_MS = [
  5,
  10,
  25,
  50,
  100,
  200,
  400,
  800,
  1_600,
  3_200,
  6_400,
];

/** Sides of an exchange that goes through another host. */
export enum CarriedSide {
  Sender = "sender",
  Carrier = "carrier",
}

/** Metrics of forwarded requests, in a registry of their own. */
export class ForwardMetrics {
  readonly registry = new Registry();
  readonly requests = new Counter({
    name: "sesamequay_forwarded_requests_total",
    help: "Requests by kind and outcome",
    labelNames: ["kind", "outcome"],
    registers: [this.registry],
  });
  readonly requestEnds = new Counter({
    name: "sesamequay_request_ends_total",
    help: "Requests by how they ended for the caller",
    labelNames: ["end"],
    registers: [this.registry],
  });
  readonly requestTime = new Histogram({
    name: "sesamequay_forwarded_request_ms",
    help: "Time to the end of the answer",
    labelNames: ["kind"],
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });
  readonly allStagesTime = new Histogram({
    name: "sesamequay_stages_ms",
    help: "Time until the results of all stages were made",
    labelNames: ["outcome"],
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });
  readonly sends = new Counter({
    name: "sesamequay_sends_total",
    help: "Requests sent to endpoints by how the exchange ended",
    labelNames: ["outcome"],
    registers: [this.registry],
  });
  readonly coldSpells = new Counter({
    name: "sesamequay_cold_spells_total",
    help: "Times that an endpoint turned cold, by how this host learned of it",
    labelNames: ["source"],
    registers: [this.registry],
  });
  readonly coldPermits = new Counter({
    name: "sesamequay_cold_permits_total",
    help: "Requests for permits to send to cold endpoints, by outcome",
    labelNames: ["outcome"],
    registers: [this.registry],
  });
  readonly carriedExchanges = new Counter({
    name: "sesamequay_carried_exchanges_total",
    help: "Exchanges with endpoints through another host, by side and outcome",
    labelNames: ["side", "outcome"],
    registers: [this.registry],
  });
  readonly workAfterCallerLeft = new Histogram({
    name: "sesamequay_work_after_caller_left_ms",
    help: "Time from a caller's close to the end of the work for it",
    labelNames: ["work"],
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });
  readonly loopLag = new Histogram({
    name: "sesamequay_loop_lag_ms",
    help: "Delay of a periodic timer of the event loop",
    buckets: LATENCY_BUCKETS_MS,
    registers: [this.registry],
  });
  readonly resumedStreams = new Counter({
    name: "sesamequay_resumed_streams_total",
    help: "Streams that callers resumed, by outcome and source of the version",
    labelNames: ["outcome", "source"],
    registers: [this.registry],
  });
  readonly storeCalls = new Counter({
    name: "sesamequay_store_calls_total",
    help: "Calls to the object store by operation and kind of object",
    labelNames: ["operation", "kind"],
    registers: [this.registry],
  });
  readonly endpointCrashes = new Counter({
    name: "sesamequay_endpoint_crashes_total",
    help: "Endpoints that crashed before they began to answer this host",
    registers: [this.registry],
  });
  readonly leavingEndpoints = new Counter({
    name: "sesamequay_endpoints_leaving_total",
    help: "Endpoints that said that they are leaving, by who told this host",
    labelNames: ["source"],
    registers: [this.registry],
  });
  readonly endpointPauses = new Counter({
    name: "sesamequay_endpoint_pauses_total",
    help: "Times that an endpoint refused this host's requests for a while",
    registers: [this.registry],
  });
  readonly rampStarts = new Counter({
    name: "sesamequay_ramp_ups_total",
    help: "Ramp-ups of endpoints that this host looks after, by reason",
    labelNames: ["reason"],
    registers: [this.registry],
  });
  readonly rampEnds = new Counter({
    name: "sesamequay_ramp_up_ends_total",
    help: "Ramp-ups that have ended at this host, by how they ended",
    labelNames: ["end"],
    registers: [this.registry],
  });
  readonly rampedRequests = new Counter({
    name: "sesamequay_ramped_requests_total",
    help: "Requests to endpoints in ramp-ups that have ended at this host",
    labelNames: ["outcome"],
    registers: [this.registry],
  });
  readonly reachProbes = new Counter({
    name: "sesamequay_reach_probes_total",
    help: "Attempts to reach endpoints that failed or were silent, by outcome",
    labelNames: ["outcome"],
    registers: [this.registry],
  });
  readonly evacuatedSends = new Counter({
    name: "sesamequay_evacuated_sends_total",
    help: "Requests not sent since the zone of their endpoint was evacuated",
    registers: [this.registry],
  });
  readonly bodiesDropped = new Counter({
    name: "sesamequay_bodies_dropped_total",
    help: "Bodies that were dropped since bodies exceeded their memory",
    labelNames: ["kind"],
    registers: [this.registry],
  });
  readonly configurationVersion = new Gauge({
    name: "sesamequay_configuration_version",
    help: "Version of the configuration in force",
    registers: [this.registry],
  });

  /** Exports the position of the store up to which each feed has been read. */
  exportFeedPositions(
    feeds: () => Record<string, { position: FeedPosition }>,
  ): void {
    const labelNames = ["feed"];
    new Gauge({
      name: "sesamequay_feed_revision",
      help: "Revision of the object store up to which a feed has been read",
      labelNames,
      registers: [this.registry],
      collect() {
        for (const [feed, { position }] of Object.entries(feeds())) {
          this.set({ feed }, position.revision);
        }
      },
    });
    new Gauge({
      name: "sesamequay_feed_epoch",
      help: "Epoch of the object store that gave out the feed's revision",
      labelNames,
      registers: [this.registry],
      collect() {
        for (const [feed, { position }] of Object.entries(feeds())) {
          if (position.epoch !== undefined) this.set({ feed }, position.epoch);
        }
      },
    });
  }

  /** Exports how many endpoints others reach and this host doesn't. */
  exportLostEndpoints(reachability: { lostCount: number }): void {
    new Gauge({
      name: "sesamequay_endpoints_out_of_reach",
      help: "Endpoints that other hosts reach and this host does not",
      registers: [this.registry],
      collect() {
        this.set(reachability.lostCount);
      },
    });
  }

  /** Exports the exchanges that run in each zone, and the zones' shares. */
  exportZones(
    { exchanges, shares }: {
      exchanges: () => ReadonlyMap<string, number>;
      /** The zones whose share isn't whole. */
      shares: () => ReadonlyMap<string, number>;
    },
  ): void {
    const labelNames = ["zone"];
    new Gauge({
      name: "sesamequay_zone_exchanges",
      help: "Exchanges of this host with endpoints of a zone that run now",
      labelNames,
      registers: [this.registry],
      collect() {
        for (const [zone, running] of exchanges()) this.set({ zone }, running);
      },
    });
    new Gauge({
      name: "sesamequay_zone_share",
      help: "Part of the requests that may go to a zone, unless it is 1",
      labelNames,
      registers: [this.registry],
      collect() {
        this.reset();
        for (const [zone, share] of shares()) this.set({ zone }, share);
      },
    });
  }

  /** Exports how many endpoints in ramp-up this host knows of. */
  exportRamps(places: { rampNews(): unknown[] }): void {
    new Gauge({
      name: "sesamequay_endpoints_in_ramp_up",
      help: "Endpoints in ramp-up that this host knows of",
      registers: [this.registry],
      collect() {
        this.set(places.rampNews().length);
      },
    });
  }

  /** Exports the memory that the bodies of each kind take. */
  exportHeldBodies(memories: Record<string, { held_bytes: number }>): void {
    new Gauge({
      name: "sesamequay_held_body_bytes",
      help: "Memory that bodies take",
      labelNames: ["kind"],
      registers: [this.registry],
      collect() {
        for (const [kind, { held_bytes }] of Object.entries(memories)) {
          this.set({ kind }, held_bytes);
        }
      },
    });
  }

  /** `quarantinedEntries` is called when the metrics are read. */
  constructor(quarantinedEntries: () => number) {
    new Gauge({
      name: "sesamequay_quarantined_entries",
      help: "Sets of prompt parts on which endpoints crash",
      registers: [this.registry],
      collect() {
        this.set(quarantinedEntries());
      },
    });
  }
}
