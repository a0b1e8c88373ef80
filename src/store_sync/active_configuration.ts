import { RouteTable } from "../routes/route_table.ts";
import type { RouteConfiguration } from "../routes/types.ts";

/**
 * Holds the newest route configuration that this host has received, from the
 * store or from a peer. The version never decreases, whichever delivers it. Configurations that cannot be
 * decoded are skipped before they get here.
 */
export class ActiveConfiguration {
  #routeTable: RouteTable | undefined;
  #onChange: (routeTable: RouteTable, source: string) => void;

  constructor(onChange: (routeTable: RouteTable, source: string) => void) {
    this.#onChange = onChange;
  }

  /** The active configuration; undefined before the first one. */
  get routeTable(): RouteTable | undefined {
    return this.#routeTable;
  }

  /** The active version; 0 before the first configuration. */
  get version(): number {
    return this.#routeTable?.configuration.version ?? 0;
  }

  /**
   * Activates a newer configuration; returns false if it is not newer. `source`
   * is "store" or the address of the peer that sent it, for log lines.
   */
  applyIfNewer(configuration: RouteConfiguration, source: string): boolean {
    if (configuration.version <= this.version) return false;
    this.#routeTable = new RouteTable(configuration);
    this.#onChange(this.#routeTable, source);
    return true;
  }
}
