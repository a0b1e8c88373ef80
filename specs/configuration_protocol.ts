/**
 * Specification of the accepted configuration: two publishers that may pause
 * anywhere, an operator who replaces a record, a platform whose answers may be
 * lost, and hosts that hear of generations late, from the platform or a peer.
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
  HalfRead = "half_read",
  BothRead = "both_read",
  Waiting = "waiting",
}

/** The accepted configuration, reduced to what the invariants look at. */
interface Accepted {
  version: number;
  generation: number;
  records_revision: number;
  /** The value of the one record. */
  value: number;
}

interface PublisherState {
  phase: Phase;
  accepted: Accepted;
  listed: number;
  pending: Accepted | null;
}

interface HostView {
  generation: number;
  value: number;
  /** The highest generation that the host ever had in force. */
  highest: number;
  /** An older view that is still on its way to the host. */
  delayed: { generation: number; value: number } | null;
}

/** The store, the publishers and the hosts. */
export interface ConfigurationModel {
  /** Value of the operator's record; also the store's revision. */
  record: number;
  accepted: Accepted;
  /** Highest value that was ever accepted. */
  highest_value: number;
  publishers: PublisherState[];
  hosts: HostView[];
}

/** What can happen. */
export interface ConfigurationEvent {
  type:
    | "operator_writes"
    | "read"
    | "send_write"
    | "write_arrives"
    | "answer_ends"
    | "host_asks"
    | "host_hears"
    | "host_asks_peer";
  who: number;
}

/** Mechanisms that a broken variant leaves out. */
export interface ConfigurationVariant {
  /** Writes name the version that was read. */
  conditional: boolean;
  /** The accepted object is read before the records are listed. */
  acceptedFirst: boolean;
  /** A listing older than the accepted configuration is not used. */
  refusesStale: boolean;
  /** Hosts take only higher generations. */
  onlyHigher: boolean;
}

/** The protocol as it is built. */
export const COMPLETE_CONFIGURATION: ConfigurationVariant = {
  conditional: true,
  acceptedFirst: true,
  refusesStale: true,
  onlyHigher: true,
};

const MOST_RECORD_VALUES = 3;
const MOST_GENERATIONS = 3;

/** How many of each take part. */
export interface ConfigurationSize {
  publishers: number;
  hosts: number;
}

/** Creates the specification. */
export function createConfigurationSpecification(
  size: ConfigurationSize,
  variant: ConfigurationVariant = COMPLETE_CONFIGURATION,
): Specification<ConfigurationModel, ConfigurationEvent> {
  const host = { generation: 0, value: 0, highest: 0, delayed: null };
  return {
    name: "accepted configuration",
    initial: {
      record: 1,
      accepted: none,
      highest_value: 0,
      publishers: repeat(size.publishers, () => ({ ...idlePublisher })),
      hosts: repeat(size.hosts, () => ({ ...host })),
    },
    events: possibleEvents,
    apply: (state, event) => applyEvent(structuredClone(state), event, variant),
    invariants: [
      {
        name: "an accepted record never reverts",
        holds: (state) => state.accepted.value >= state.highest_value,
      },
      {
        name: "no host falls to a lower generation",
        holds: (state) =>
          state.hosts.every((each) => each.generation >= each.highest),
      },
    ],
  };
}

const none: Accepted = {
  version: 0,
  generation: 0,
  records_revision: 0,
  value: 0,
};

const idlePublisher: PublisherState = {
  phase: Phase.Idle,
  accepted: none,
  listed: 0,
  pending: null,
};

function repeat<T>(times: number, create: () => T): T[] {
  return Array.from({ length: times }, create);
}

function possibleEvents(state: ConfigurationModel): ConfigurationEvent[] {
  if (state.accepted.version >= MOST_GENERATIONS) return [];
  const events: ConfigurationEvent[] = [];
  if (state.record < MOST_RECORD_VALUES) {
    events.push({ type: "operator_writes", who: 0 });
  }
  state.publishers.forEach((publisher, who) => {
    if (publisher.pending !== null) events.push({ type: "write_arrives", who });
    if (publisher.phase === Phase.Waiting) {
      events.push({ type: "answer_ends", who });
    } else if (publisher.phase === Phase.BothRead) {
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
  state: ConfigurationModel,
  event: ConfigurationEvent,
  variant: ConfigurationVariant,
): ConfigurationModel {
  if (event.type === "operator_writes") {
    state.record += 1;
    return state;
  }
  if (event.type.startsWith("host")) return hostEvent(state, event, variant);
  const publisher = state.publishers[event.who];
  if (publisher === undefined) return state;
  switch (event.type) {
    case "read":
      readNext(state, publisher, variant);
      break;
    case "send_write":
      sendWrite(publisher, variant);
      break;
    case "write_arrives":
      arrive(state, publisher, variant);
      break;
    case "answer_ends":
      forget(publisher);
      break;
  }
  return state;
}

function readNext(
  state: ConfigurationModel,
  publisher: PublisherState,
  variant: ConfigurationVariant,
): void {
  const first = publisher.phase === Phase.Idle;
  if (first === variant.acceptedFirst) {
    publisher.accepted = { ...state.accepted };
  } else publisher.listed = state.record;
  publisher.phase = first ? Phase.HalfRead : Phase.BothRead;
}

function sendWrite(
  publisher: PublisherState,
  variant: ConfigurationVariant,
): void {
  const { accepted, listed } = publisher;
  const seen = variant.refusesStale
    ? accepted
    : { ...accepted, records_revision: 0 };
  const plan = planPublication(
    seen.generation === 0 ? undefined : toConfiguration(seen),
    listingOf(listed),
  );
  if (plan.kind !== PublicationPlanKind.Publish) return forget(publisher);
  publisher.pending = {
    version: accepted.version,
    generation: plan.next.generation,
    records_revision: plan.next.records_revision,
    value: listed,
  };
  publisher.phase = Phase.Waiting;
}

/** Back to the start; a write on its way stays on its way. */
function forget(publisher: PublisherState): void {
  publisher.phase = Phase.Idle;
  publisher.accepted = { ...none };
  publisher.listed = 0;
}

function arrive(
  state: ConfigurationModel,
  publisher: PublisherState,
  variant: ConfigurationVariant,
): void {
  const { pending } = publisher;
  if (pending === null) return;
  publisher.pending = null;
  const applies = !variant.conditional ||
    pending.version === state.accepted.version;
  if (!applies) return;
  state.accepted = { ...pending, version: state.accepted.version + 1 };
  state.highest_value = Math.max(state.highest_value, pending.value);
}

function hostEvent(
  state: ConfigurationModel,
  event: ConfigurationEvent,
  variant: ConfigurationVariant,
): ConfigurationModel {
  const host = state.hosts[event.who];
  if (host === undefined) return state;
  const { generation, value } = state.accepted;
  if (event.type === "host_asks") {
    offer(host, { generation, value }, variant);
    host.delayed ??= { generation, value };
  } else if (host.delayed !== null) {
    offer(host, host.delayed, variant);
    host.delayed = null;
  }
  return state;
}

function offer(
  host: HostView,
  offered: { generation: number; value: number },
  variant: ConfigurationVariant,
): void {
  if (variant.onlyHigher && offered.generation <= host.generation) return;
  host.generation = offered.generation;
  host.value = offered.value;
  host.highest = Math.max(host.highest, offered.generation);
}

const key = recordKey(RecordKind.Rank, { fleet: "khuree", name: "urgent" });

function rankOf(value: number): object {
  return {
    schema_version: 1,
    kind: RecordKind.Rank,
    fleet: "khuree",
    name: "urgent",
    priority: value,
    guaranteed_percent: 10,
  };
}

function toConfiguration(accepted: Accepted): AcceptedConfiguration {
  return {
    generation: accepted.generation,
    records_revision: accepted.records_revision,
    records: [{ key, value: rankOf(accepted.value) }],
  };
}

function listingOf(listed: number): PlatformListing {
  return {
    revision: listed,
    objects: [{ key, version: String(listed), value: rankOf(listed) }],
  };
}
