import type * as configuration from './fleet-configuration.js';
import * as keyPolicy from './key-policy.js';
import * as weightedSplit from './weighted-split.js';

/** Result of checking the key of a request, or its absence. */
export type KeyVerdict =
  | {
      readonly kind: 'allowed';
      /** Null on a public route that was requested without a valid key. */
      readonly organisation: configuration.Organisation | null;
    }
  | {readonly kind: 'missing'}
  | {readonly kind: 'unknown'};

/**
 * Lookup tables of packages/host-daemon over one version of the configuration.
 * The counterpart in packages/daemon is `DocumentIndex`.
 */
export class ConfigurationIndex {
  private readonly routesByHost = new Map<string, configuration.Route[]>();
  private readonly organisationsByKey = new Map<
    string,
    configuration.Organisation
  >();
  private readonly servicesByName = new Map<
    string,
    configuration.ServiceSettings
  >();
  private readonly splits = new Map<
    configuration.Route,
    weightedSplit.WeightedSplit
  >();

  constructor(readonly configuration: configuration.FleetConfiguration) {
    for (const route of configuration.routes) {
      const routes = this.routesByHost.get(route.host);
      if (routes) routes.push(route);
      else this.routesByHost.set(route.host, [route]);
      this.splits.set(
        route,
        new weightedSplit.WeightedSplit(route.destinations),
      );
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((left, right) => right.prefix.length - left.prefix.length);
    }
    for (const organisation of this.organisations) {
      for (const key of organisation.keys) {
        this.organisationsByKey.set(key, organisation);
      }
    }
    for (const service of configuration.services) {
      this.servicesByName.set(service.name, service);
    }
  }

  get version(): number {
    return this.configuration.version;
  }

  get organisations(): readonly configuration.Organisation[] {
    return keyPolicy.organisationsOf(this.configuration);
  }

  /** Returns the route of the host with the longest matching path prefix. */
  matchRoute(host: string, path: string): configuration.Route | null {
    const portStart = host.indexOf(':');
    const name = portStart < 0 ? host : host.slice(0, portStart);
    const routes = this.routesByHost.get(name.toLowerCase());
    if (!routes) return null;
    for (const route of routes) {
      if (path.startsWith(route.prefix)) return route;
    }
    return null;
  }

  /**
   * Returns the service for the next request of a route of this configuration.
   */
  nextService(route: configuration.Route): string | null {
    return this.splits.get(route)?.next() ?? null;
  }

  /** Returns what `nextService` would return, without a request. */
  peekService(route: configuration.Route): string | null {
    return this.splits.get(route)?.peek() ?? null;
  }

  service(name: string): configuration.ServiceSettings | null {
    return this.servicesByName.get(name) ?? null;
  }

  /** Checks the key of a request; `key` is null if the request has none. */
  checkKey(route: configuration.Route, key: string | null): KeyVerdict {
    const isKeyOptional =
      route.isPublic || this.configuration.keyPolicy.kind === 'optional';
    if (key === null) {
      return isKeyOptional
        ? {kind: 'allowed', organisation: null}
        : {kind: 'missing'};
    }
    const organisation = this.organisationsByKey.get(key);
    if (organisation) return {kind: 'allowed', organisation};
    return isKeyOptional
      ? {kind: 'allowed', organisation: null}
      : {kind: 'unknown'};
  }
}
