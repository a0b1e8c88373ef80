/**
 * Model of how the accepted configuration is published: publishers that may
 * pause between any two steps, an operator who replaces a record, an object
 * store whose responses may be lost, and hosts that learn of generations late,
 * from the store or a peer. The model calls the publication rules of the
 * production code.
 */
import type { AcceptedConfiguration } from "../src/configuration/accepted_configuration.ts";
import {
  planPublication,
  PublicationPlanKind,
} from "../src/configuration/plan_publication.ts";
import type { PlatformListing } from "../src/object_api/types.ts";
import { recordKey, RecordKind } from "../src/records/types.ts";
import type { Specification } from "./explore.ts";

enum Phase {
  Idle = "idle",
  /** The first of its two reads is done. */
  FirstReadDone = "half_read",
  BothReadsDone = "both_read",
  /** It waits for the response to its write. */
  AwaitingResponse = "waiting",
}

/** The accepted configuration, reduced to the fields that the model needs. */
interface AcceptedSummary {
  version: number;
  generation: number;
  records_revision: number;
  /** The value of the one record. */
  value: number;
}

interface PublisherState {
  phase: Phase;
  accepted: AcceptedSummary;
  /** The store's revision when it listed the records. */
  listed_revision: number;
  /** A write that was sent and has not reached the store yet. */
  pending: AcceptedSummary | null;
}

interface HostConfiguration {
  generation: number;
  value: number;
  /** The highest generation that was ever active on the host. */
  highest_generation: number;
  /** A configuration that was sent to the host and has not arrived yet. */
  delayed: { generation: number; value: number } | null;
}

/** The state of the model: the store, the publishers and the hosts. */
export interface ConfigurationProtocolState {
  /** Value of the operator's record; also the store's revision. */
  record_value: number;
  accepted: AcceptedSummary;
  /** Highest value that was ever accepted. */
  highest_value: number;
  publishers: PublisherState[];
  hosts: HostConfiguration[];
}

/** One step of the operator, a publisher, the network or a host. */
export interface ConfigurationEvent {
  /**
   * "answer_ends": the publisher receives or loses the response to its write;
   * "host_asks": a host reads the store, and a copy of what it read may arrive
   * again later; "host_hears": that delayed copy arrives.
   */
  type:
    | "operator_writes"
    | "read"
    | "send_write"
    | "write_arrives"
    | "answer_ends"
    | "host_asks"
    | "host_hears"
    | "host_asks_peer";
  /** Index of the publisher or host that takes the step. */
  who: number;
}

/** The safeguards of the protocol; tests disable some to see the model fail. */
export interface ConfigurationSafeguards {
  /** Writes apply only if the object still has the version that was read. */
  conditionalWrites: boolean;
  /** The accepted object is read before the records are listed. */
  readAcceptedFirst: boolean;
  /** A listing older than the accepted configuration is not used. */
  rejectStaleListings: boolean;
  /** Hosts apply only generations higher than the active one. */
  rejectOlderGenerations: boolean;
}

/** Every safeguard, as in the production code. */
export const ALL_CONFIGURATION_SAFEGUARDS: ConfigurationSafeguards = {
  conditionalWrites: true,
  readAcceptedFirst: true,
  rejectStaleListings: true,
  rejectOlderGenerations: true,
};

const MAX_RECORD_VALUE = 3;
const MAX_GENERATIONS = 3;

/** The number of publishers and hosts in the model. */
export interface ConfigurationSize {
  publishers: number;
  hosts: number;
}

/** Creates the model; every safeguard is on unless `safeguards` says otherwise. */
export function createConfigurationSpecification(
  size: ConfigurationSize,
  safeguards: ConfigurationSafeguards = ALL_CONFIGURATION_SAFEGUARDS,
): Specification<ConfigurationProtocolState, ConfigurationEvent> {
  const host = {
    generation: 0,
    value: 0,
    highest_generation: 0,
    delayed: null,
  };
  return {
    name: "accepted configuration",
    initial: {
      record_value: 1,
      accepted: initialAccepted,
      highest_value: 0,
      publishers: createArray(size.publishers, () => ({ ...idlePublisher })),
      hosts: createArray(size.hosts, () => ({ ...host })),
    },
    events: enabledEvents,
    apply: (state, event) =>
      applyEvent(structuredClone(state), event, safeguards),
    invariants: [
      {
        name: "an accepted record never reverts",
        holds: (state) => state.accepted.value >= state.highest_value,
      },
      {
        name: "no host falls to a lower generation",
        holds: (state) =>
          state.hosts.every((host) =>
            host.generation >= host.highest_generation
          ),
      },
    ],
  };
}

const initialAccepted: AcceptedSummary = {
  version: 0,
  generation: 0,
  records_revision: 0,
  value: 0,
};

const idlePublisher: PublisherState = {
  phase: Phase.Idle,
  accepted: initialAccepted,
  listed_revision: 0,
  pending: null,
};

function createArray<T>(length: number, create: () => T): T[] {
  return Array.from({ length }, create);
}

function enabledEvents(
  state: ConfigurationProtocolState,
): ConfigurationEvent[] {
  if (state.accepted.version >= MAX_GENERATIONS) return [];
  const events: ConfigurationEvent[] = [];
  if (state.record_value < MAX_RECORD_VALUE) {
    events.push({ type: "operator_writes", who: 0 });
  }
  state.publishers.forEach((publisher, who) => {
    if (publisher.pending !== null) events.push({ type: "write_arrives", who });
    if (publisher.phase === Phase.AwaitingResponse) {
      events.push({ type: "answer_ends", who });
    } else if (publisher.phase === Phase.BothReadsDone) {
      events.push({ type: "send_write", who });
    } else events.push({ type: "read", who });
  });
  state.hosts.forEach((host, who) => {
    events.push({ type: "host_asks", who });
    if (host.delayed !== null) events.push({ type: "host_hears", who });
  });
  return events;
}

function applyEvent(
  state: ConfigurationProtocolState,
  event: ConfigurationEvent,
  safeguards: ConfigurationSafeguards,
): ConfigurationProtocolState {
  if (event.type === "operator_writes") {
    state.record_value += 1;
    return state;
  }
  if (event.type.startsWith("host")) {
    return applyHostEvent(state, event, safeguards);
  }
  const publisher = state.publishers[event.who];
  if (publisher === undefined) return state;
  switch (event.type) {
    case "read":
      readNext(state, publisher, safeguards);
      break;
    case "send_write":
      sendWrite(publisher, safeguards);
      break;
    case "write_arrives":
      applyPendingWrite(state, publisher, safeguards);
      break;
    case "answer_ends":
      resetPublisher(publisher);
      break;
  }
  return state;
}

function readNext(
  state: ConfigurationProtocolState,
  publisher: PublisherState,
  safeguards: ConfigurationSafeguards,
): void {
  const first = publisher.phase === Phase.Idle;
  if (first === safeguards.readAcceptedFirst) {
    publisher.accepted = { ...state.accepted };
  } else publisher.listed_revision = state.record_value;
  publisher.phase = first ? Phase.FirstReadDone : Phase.BothReadsDone;
}

function sendWrite(
  publisher: PublisherState,
  safeguards: ConfigurationSafeguards,
): void {
  const { accepted, listed_revision } = publisher;
  const compared = safeguards.rejectStaleListings
    ? accepted
    : { ...accepted, records_revision: 0 };
  const plan = planPublication(
    compared.generation === 0 ? undefined : toAcceptedConfiguration(compared),
    createListing(listed_revision),
  );
  if (plan.kind !== PublicationPlanKind.Publish) {
    return resetPublisher(publisher);
  }
  publisher.pending = {
    version: accepted.version,
    generation: plan.next.generation,
    records_revision: plan.next.records_revision,
    value: listed_revision,
  };
  publisher.phase = Phase.AwaitingResponse;
}

/** Starts the publisher again; a write that was sent may still arrive. */
function resetPublisher(publisher: PublisherState): void {
  publisher.phase = Phase.Idle;
  publisher.accepted = { ...initialAccepted };
  publisher.listed_revision = 0;
}

function applyPendingWrite(
  state: ConfigurationProtocolState,
  publisher: PublisherState,
  safeguards: ConfigurationSafeguards,
): void {
  const { pending } = publisher;
  if (pending === null) return;
  publisher.pending = null;
  const applies = !safeguards.conditionalWrites ||
    pending.version === state.accepted.version;
  if (!applies) return;
  state.accepted = { ...pending, version: state.accepted.version + 1 };
  state.highest_value = Math.max(state.highest_value, pending.value);
}

function applyHostEvent(
  state: ConfigurationProtocolState,
  event: ConfigurationEvent,
  safeguards: ConfigurationSafeguards,
): ConfigurationProtocolState {
  const host = state.hosts[event.who];
  if (host === undefined) return state;
  const { generation, value } = state.accepted;
  if (event.type === "host_asks") {
    applyIfNewer(host, { generation, value }, safeguards);
    host.delayed ??= { generation, value };
  } else if (host.delayed !== null) {
    applyIfNewer(host, host.delayed, safeguards);
    host.delayed = null;
  }
  return state;
}

function applyIfNewer(
  host: HostConfiguration,
  update: { generation: number; value: number },
  safeguards: ConfigurationSafeguards,
): void {
  if (
    safeguards.rejectOlderGenerations && update.generation <= host.generation
  ) return;
  host.generation = update.generation;
  host.value = update.value;
  host.highest_generation = Math.max(
    host.highest_generation,
    update.generation,
  );
}

const key = recordKey(RecordKind.Rank, { fleet: "khuree", name: "urgent" });

function createRankRecord(priority: number): object {
  return {
    schema_version: 1,
    kind: RecordKind.Rank,
    fleet: "khuree",
    name: "urgent",
    priority,
    guaranteed_percent: 10,
  };
}

function toAcceptedConfiguration(
  accepted: AcceptedSummary,
): AcceptedConfiguration {
  return {
    generation: accepted.generation,
    records_revision: accepted.records_revision,
    records: [{ key, value: createRankRecord(accepted.value) }],
  };
}

function createListing(revision: number): PlatformListing {
  return {
    revision,
    objects: [{
      key,
      version: String(revision),
      value: createRankRecord(revision),
    }],
  };
}
