/** Interfaces through which a gateway host uses the deployment it runs in. */
import type { Evacuation } from "../evacuations/types.ts";
import type { ObjectFeed } from "../store_sync/object_feed.ts";
import type { GatewayMember } from "../membership/gateway_members.ts";
import type { QuarantineStore } from "../quarantine/quarantine_store.ts";
import type { QuarantinedParts } from "../quarantine/types.ts";
import type { RouteConfiguration, RouteEndpoint } from "../routes/types.ts";
import type { Address } from "../settings/settings.ts";
import type { OriginStore } from "../stream_origins/stored_origins.ts";
import type { VersionStore } from "../stream_origins/stored_versions.ts";
import type { ProtocolCodec } from "./protocol_codec.ts";

/** Operations on the object store; the values are labels of a metric. */
export enum StoreOperation {
  List = "list",
  Watch = "watch",
  Write = "write",
  Delete = "delete",
}

/** One call to the object store. */
export interface StoreCall {
  operation: StoreOperation;
  /** The store's name for the kind of object. */
  kind: string;
}

/** The deployment's object store. */
export interface GatewayStore
  extends QuarantineStore, VersionStore, OriginStore {
  configuration: ObjectFeed<RouteConfiguration>;
  endpoints: ObjectFeed<RouteEndpoint>;
  gateways: ObjectFeed<GatewayMember>;
  quarantined: ObjectFeed<QuarantinedParts>;
  evacuations: ObjectFeed<Evacuation>;
  /** Requests the evacuation of a zone; rejects if the write fails. */
  requestEvacuation(zone: string): Promise<void>;
  /** Cancels the evacuation of a zone; rejects if the removal fails. */
  cancelEvacuation(zone: string): Promise<void>;
  /** Registers this host by writing its entry; rejects if the write fails. */
  announce(name: string, member: GatewayMember): Promise<void>;
  /** Removes this host's entry; rejects if the removal fails. */
  withdraw(name: string): Promise<void>;
  close(): void;
}

/** Connects a gateway host to a deployment's protocol and object store. */
export interface GatewayAdapter {
  codec: ProtocolCodec;
  /** Opens the object store; `onCall` is told of each call before it is sent. */
  openStore(
    address: Address,
    onCall: (call: StoreCall) => void,
  ): GatewayStore;
}
