/** Looks up the route and the organisation of a request. */
import type { Route, RouteConfiguration, RouteOrganisation } from "./types.ts";

/** A configuration indexed by host name and API key. */
export class RouteTable {
  readonly configuration: RouteConfiguration;
  /** Pools whose streams may be resumed. */
  readonly resumablePools: ReadonlySet<string>;
  /** Routes by host name, longest prefix first. */
  #byHostname = new Map<string, Route[]>();
  #organisationByKey = new Map<string, RouteOrganisation>();

  constructor(configuration: RouteConfiguration) {
    this.configuration = configuration;
    this.resumablePools = new Set(
      configuration.routes.filter(({ resumable }) => resumable)
        .flatMap(({ pools }) => pools.map(({ pool }) => pool)),
    );
    for (const route of configuration.routes) {
      const known = this.#byHostname.get(route.hostname);
      if (known === undefined) this.#byHostname.set(route.hostname, [route]);
      else known.push(route);
    }
    for (const routes of this.#byHostname.values()) {
      routes.sort((a, b) => b.path_prefix.length - a.path_prefix.length);
    }
    for (const organisation of configuration.organisations ?? []) {
      for (const key of organisation.api_keys) {
        this.#organisationByKey.set(key, organisation);
      }
    }
  }

  /**
   * The route of a host name whose path prefix matches the URL's path, the one
   * with the longest prefix if several do; undefined if none does. The query is
   * ignored.
   */
  find(hostname: string, url: string): Route | undefined {
    const path = url.split("?", 1)[0] ?? url;
    return this.#byHostname.get(hostname)
      ?.find((route) => path.startsWith(route.path_prefix));
  }

  /** Whether requests on the route need an API key. */
  requiresKey(route: Route): boolean {
    return !route.public && this.configuration.organisations !== undefined;
  }

  /** The organisation that owns an API key; undefined if the key is unknown. */
  organisationOf(key: string | undefined): RouteOrganisation | undefined {
    return key === undefined ? undefined : this.#organisationByKey.get(key);
  }
}

/** The host name of a `Host` header, in lower case and without a port. */
export function hostnameOf(header: string): string {
  return header.replace(/:\d+$/, "").toLowerCase();
}
