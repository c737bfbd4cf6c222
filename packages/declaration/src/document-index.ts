import type * as documents from './document.js';
import * as resolution from './policy-resolution.js';
import * as routeTable from './route-table.js';
import * as selectors from './selector.js';

/**
 * Most cached policies. A daemon sees only its callers' combinations of route
 * and organisation; the bound holds its memory when it sees more.
 */
const MAXIMUM_CACHED_POLICIES = 65_536;

/** Answers the questions of the call path from one valid document. */
export class DocumentIndex {
  readonly document: documents.PublishedDocument;
  readonly #routes: routeTable.RouteTable;
  readonly #services: ReadonlyMap<string, documents.Service>;
  readonly #regions: ReadonlyMap<string, documents.Region>;
  readonly #organisations: ReadonlyMap<string, documents.Organisation>;
  readonly #organisationsOfKeys = new Map<string, documents.Organisation>();
  readonly #policies: readonly documents.Policy[];
  /** By route name, then by organisation name; "" stands for none. */
  readonly #cache = new Map<string, Map<string, documents.EffectivePolicy>>();
  #cachedPolicies = 0;
  readonly #servicePolicies = new Map<string, resolution.ServicePolicy>();

  /** The document must be valid; see `parsePublishedDocument`. */
  constructor(document: documents.PublishedDocument) {
    this.document = document;
    this.#routes = new routeTable.RouteTable(document.routes);
    this.#services = byName(document.services);
    this.#regions = byName(document.regions);
    this.#organisations = byName(document.organisations);
    this.#policies = resolution.orderPolicies(document.policies);
    for (const organisation of document.organisations) {
      for (const hash of organisation.keyHashes) {
        this.#organisationsOfKeys.set(hash, organisation);
      }
    }
  }

  /** See `RouteTable.match`; `path` is the part after the service name. */
  matchRoute(
    service: string,
    method: string,
    path: string,
  ): documents.Route | null {
    return this.#routes.match(service, method, path);
  }

  /** @param keyHash SHA-256 digest of the key, lower-case hexadecimal. */
  organisationOfKey(keyHash: string): documents.Organisation | null {
    return this.#organisationsOfKeys.get(keyHash) ?? null;
  }

  organisation(name: string): documents.Organisation | null {
    return this.#organisations.get(name) ?? null;
  }

  region(name: string): documents.Region | null {
    return this.#regions.get(name) ?? null;
  }

  service(name: string): documents.Service | null {
    return this.#services.get(name) ?? null;
  }

  /**
   * The settings of calls of the organisation, or of callers without a key. On
   * an open route they are the same for all callers.
   */
  effectivePolicy(
    route: documents.Route,
    organisation: documents.Organisation | null,
  ): documents.EffectivePolicy {
    const organisationName = route.open ? '' : (organisation?.name ?? '');
    const cached = this.#cache.get(route.name)?.get(organisationName);
    if (cached !== undefined) return cached;
    const labels = selectors.labelsOfCall(
      route.service,
      this.service(route.service),
      route,
      organisation,
    );
    const policy = resolution.toEffectivePolicy(
      resolution.resolveSettings(this.#policies, labels, route),
    );
    this.#remember(route.name, organisationName, policy);
    return policy;
  }

  /**
   * The settings that hold for a service as a whole. They equal those of
   * `effectivePolicy` for each of its calls, because validation lets only
   * labels of services select them.
   */
  servicePolicy(serviceName: string): resolution.ServicePolicy {
    const cached = this.#servicePolicies.get(serviceName);
    if (cached !== undefined) return cached;
    const service = this.service(serviceName);
    const labels = selectors.labelsOfCall(serviceName, service, null, null);
    const {retryRatio, maximumConcurrency, maximumQueue} =
      resolution.toEffectivePolicy(
        resolution.resolveSettings(this.#policies, labels, {
          name: '',
          importance: 0,
        }),
      );
    const policy = {retryRatio, maximumConcurrency, maximumQueue};
    // Unknown names are not cached: they come from outside and are unbounded.
    if (service !== null) this.#servicePolicies.set(serviceName, policy);
    return policy;
  }

  #remember(
    routeName: string,
    organisationName: string,
    policy: documents.EffectivePolicy,
  ): void {
    if (this.#cachedPolicies >= MAXIMUM_CACHED_POLICIES) {
      this.#cache.clear();
      this.#cachedPolicies = 0;
    }
    let ofRoute = this.#cache.get(routeName);
    if (ofRoute === undefined) {
      ofRoute = new Map();
      this.#cache.set(routeName, ofRoute);
    }
    ofRoute.set(organisationName, policy);
    this.#cachedPolicies++;
  }
}

function byName<T extends {readonly name: string}>(
  items: readonly T[],
): ReadonlyMap<string, T> {
  return new Map(items.map(item => [item.name, item]));
}
