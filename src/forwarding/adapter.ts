/** What a deployment's adapter provides to a gateway host. */
import type { ObjectFeed } from "../store_sync/object_feed.ts";
import type { GatewayMember } from "../membership/gateway_members.ts";
import type { RouteConfiguration, RouteEndpoint } from "../routes/types.ts";
import type { Address } from "../settings/settings.ts";
import type { Dialect } from "./dialect.ts";

/** The deployment's object store, as a gateway host uses it. */
export interface GatewayStore {
  configuration: ObjectFeed<RouteConfiguration>;
  endpoints: ObjectFeed<RouteEndpoint>;
  gateways: ObjectFeed<GatewayMember>;
  /** Writes this host's entry; rejects if that fails. */
  announce(name: string, member: GatewayMember): Promise<void>;
  /** Removes this host's entry; rejects if that fails. */
  withdraw(name: string): Promise<void>;
  close(): void;
}

/** See the module's comment. */
export interface GatewayAdapter {
  dialect: Dialect;
  openStore(address: Address): GatewayStore;
}
