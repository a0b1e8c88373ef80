/** Finds the route and the organisation of a request. Pure. */
import type { Route, RouteConfiguration, RouteOrganisation } from "./types.ts";

/** A configuration, arranged for look-ups. */
export class RouteTable {
  readonly configuration: RouteConfiguration;
  /** Routes of each host name, those with the longest prefix first. */
  #byHostname = new Map<string, Route[]>();
  #organisationByKey = new Map<string, RouteOrganisation>();

  constructor(configuration: RouteConfiguration) {
    this.configuration = configuration;
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

  /** The route with the longest prefix of the path, query left out. */
  find(hostname: string, url: string): Route | undefined {
    const path = url.split("?", 1)[0] ?? url;
    return this.#byHostname.get(hostname)
      ?.find((route) => path.startsWith(route.path_prefix));
  }

  /** Whether requests on the route must bring a key. */
  requiresKey(route: Route): boolean {
    return !route.public && this.configuration.organisations !== undefined;
  }

  /** The organisation that holds a key. */
  organisationOf(key: string | undefined): RouteOrganisation | undefined {
    return key === undefined ? undefined : this.#organisationByKey.get(key);
  }
}

/** The host name in a `Host` header: lower case, without a port. */
export function hostnameOf(header: string): string {
  return header.replace(/:\d+$/, "").toLowerCase();
}
