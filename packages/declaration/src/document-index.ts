import type * as documents from './document.js';
import * as resolution from './policy-resolution.js';
import * as routeTable from './route-table.js';
import * as selectors from './selector.js';

/**
 * Maximum number of cached policies. A daemon normally sees few combinations of
 * route and organisation; the limit bounds its memory if it sees more.
 */
const MAXIMUM_CACHED_POLICIES = 65_536;

/**
 * Lookup tables over a valid document, with which packages/daemon routes and
 * authorizes calls. The counterpart in packages/host-daemon is
 * `ConfigurationIndex`.
 */
export class DocumentIndex {
  readonly document: documents.PublishedDocument;
  readonly #routes: routeTable.RouteTable;
  readonly #services: ReadonlyMap<string, documents.Service>;
  readonly #regions: ReadonlyMap<string, documents.Region>;
  readonly #organisations: ReadonlyMap<string, documents.Organisation>;
  readonly #organisationsByKeyHash = new Map<string, documents.Organisation>();
  readonly #policies: readonly documents.Policy[];
  /** By route name, then by organisation name ("" for no organisation). */
  readonly #policyCache = new Map<
    string,
    Map<string, documents.EffectivePolicy>
  >();
  #cachedPolicyCount = 0;
  readonly #servicePolicies = new Map<string, resolution.ServicePolicy>();

  /** The document must be valid; see `parsePublishedDocument`. */
  constructor(document: documents.PublishedDocument) {
    this.document = document;
    this.#routes = new routeTable.RouteTable(document.routes);
    this.#services = indexByName(document.services);
    this.#regions = indexByName(document.regions);
    this.#organisations = indexByName(document.organisations);
    this.#policies = resolution.sortByPrecedence(document.policies);
    for (const organisation of document.organisations) {
      for (const hash of organisation.keyHashes) {
        this.#organisationsByKeyHash.set(hash, organisation);
      }
    }
  }

  /** See `RouteTable.match`; `path` excludes the service name. */
  matchRoute(
    service: string,
    method: string,
    path: string,
  ): documents.Route | null {
    return this.#routes.match(service, method, path);
  }

  /** @param keyHash SHA-256 digest of the key, lower-case hexadecimal. */
  organisationByKeyHash(keyHash: string): documents.Organisation | null {
    return this.#organisationsByKeyHash.get(keyHash) ?? null;
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
   * Returns the settings for calls of the organisation, or for calls without a
   * key. On an open route they are the same for all callers.
   */
  effectivePolicy(
    route: documents.Route,
    organisation: documents.Organisation | null,
  ): documents.EffectivePolicy {
    const organisationName = route.open ? '' : (organisation?.name ?? '');
    const cached = this.#policyCache.get(route.name)?.get(organisationName);
    if (cached !== undefined) return cached;
    const labels = selectors.collectCallLabels(
      route.service,
      this.service(route.service),
      route,
      organisation,
    );
    const policy = resolution.toEffectivePolicy(
      resolution.resolveSettings(this.#policies, labels, route),
    );
    this.#cachePolicy(route.name, organisationName, policy);
    return policy;
  }

  /**
   * Returns the settings that apply to a service as a whole. They equal those
   * of `effectivePolicy` for each of its calls, because validation allows only
   * service labels in the selectors of these settings.
   */
  servicePolicy(serviceName: string): resolution.ServicePolicy {
    const cached = this.#servicePolicies.get(serviceName);
    if (cached !== undefined) return cached;
    const service = this.service(serviceName);
    const labels = selectors.collectCallLabels(
      serviceName,
      service,
      null,
      null,
    );
    const {retryRatio, maximumConcurrency, maximumQueue} =
      resolution.toEffectivePolicy(
        resolution.resolveSettings(this.#policies, labels, {
          name: '',
          importance: 0,
        }),
      );
    const policy = {retryRatio, maximumConcurrency, maximumQueue};
    // Unknown names are not cached: callers could send any number of them.
    if (service !== null) this.#servicePolicies.set(serviceName, policy);
    return policy;
  }

  #cachePolicy(
    routeName: string,
    organisationName: string,
    policy: documents.EffectivePolicy,
  ): void {
    if (this.#cachedPolicyCount >= MAXIMUM_CACHED_POLICIES) {
      this.#policyCache.clear();
      this.#cachedPolicyCount = 0;
    }
    let routePolicies = this.#policyCache.get(routeName);
    if (routePolicies === undefined) {
      routePolicies = new Map();
      this.#policyCache.set(routeName, routePolicies);
    }
    routePolicies.set(organisationName, policy);
    this.#cachedPolicyCount++;
  }
}

function indexByName<T extends {readonly name: string}>(
  items: readonly T[],
): ReadonlyMap<string, T> {
  return new Map(items.map(item => [item.name, item]));
}
