/**
 * Which configuration this host believes to be in force. It never goes back to
 * an older version, whoever tells it, and an unreadable one changes nothing.
 */
import { RouteTable } from "../routes/route_table.ts";
import type { RouteConfiguration } from "../routes/types.ts";

/** See the module's comment. */
export class ActiveConfiguration {
  #table: RouteTable | undefined;
  #onChange: (table: RouteTable, source: string) => void;

  constructor(onChange: (table: RouteTable, source: string) => void) {
    this.#onChange = onChange;
  }

  /** The configuration in force; undefined before the first one. */
  get routeTable(): RouteTable | undefined {
    return this.#table;
  }

  /** Its version; 0 before the first one. */
  get version(): number {
    return this.#table?.configuration.version ?? 0;
  }

  /** Takes a configuration; false if it is no newer. */
  accept(configuration: RouteConfiguration, source: string): boolean {
    if (configuration.version <= this.version) return false;
    this.#table = new RouteTable(configuration);
    this.#onChange(this.#table, source);
    return true;
  }
}
