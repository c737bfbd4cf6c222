/** Slot time, in milliseconds, that one request uses at each service. */
export type CostVector = ReadonlyMap<string, number>;

/**
 * Weight of one received vector once several are known. Vectors are averages
 * already; the weight only has to smooth differences between the servers that
 * send them.
 */
const MINIMUM_WEIGHT = 0.2;

/** Costs below this value are forgotten. */
const NEGLIGIBLE_COST_MS = 0.1;

/** No chain of calls uses more slot time than this at one service. */
const MAXIMUM_COST_MS = 600_000;

/** Maximum number of services in a vector. */
const MAXIMUM_SERVICES = 16;

/** A service with a smaller share of the total cost is not sent. */
const MINIMUM_SENT_SHARE = 0.02;

/** At this number of routes, the one that was updated first is forgotten. */
const MAXIMUM_ROUTES = 1_024;

interface RouteEntry {
  readonly costs: Map<string, number>;
  updates: number;
}

/** Cost vectors of routes, as moving averages of the vectors received. */
export class ServiceCosts {
  private readonly entries = new Map<string, RouteEntry>();

  /** Names of the routes with a known vector. */
  get routes(): IterableIterator<string> {
    return this.entries.keys();
  }

  note(route: string, received: CostVector): void {
    const entry = this.entries.get(route) ?? this.addEntry(route);
    entry.updates++;
    const weight = Math.max(MINIMUM_WEIGHT, 1 / entry.updates);
    for (const service of new Set([
      ...entry.costs.keys(),
      ...received.keys(),
    ])) {
      const previous = entry.costs.get(service) ?? 0;
      const cost =
        previous + weight * ((received.get(service) ?? 0) - previous);
      if (cost < NEGLIGIBLE_COST_MS) entry.costs.delete(service);
      else entry.costs.set(service, cost);
    }
  }

  /** Returns null for a route without a received vector. */
  vectorOf(route: string): CostVector | null {
    return this.entries.get(route)?.costs ?? null;
  }

  private addEntry(route: string): RouteEntry {
    if (this.entries.size >= MAXIMUM_ROUTES) {
      const [oldest] = this.entries.keys();
      this.entries.delete(oldest);
    }
    const entry: RouteEntry = {costs: new Map(), updates: 0};
    this.entries.set(route, entry);
    return entry;
  }
}

/**
 * Returns the vector of a route from the slot time of one run at its own
 * service and the calls that one run makes, by route. A called route without a
 * known vector adds nothing.
 */
export function composeVector(
  ownService: string,
  ownMs: number,
  callsPerRun: ReadonlyMap<string, number>,
  vectorOf: (route: string) => CostVector | null,
): CostVector {
  const costs = new Map([[ownService, ownMs]]);
  for (const [route, calls] of callsPerRun) {
    for (const [service, cost] of vectorOf(route) ?? []) {
      costs.set(service, (costs.get(service) ?? 0) + calls * cost);
    }
  }
  return costs;
}

/** Encodes the services with a noticeable share, the largest costs first. */
export function encodeCosts(
  vector: CostVector,
): ReadonlyArray<readonly [string, number]> {
  let total = 0;
  for (const cost of vector.values()) total += cost;
  return [...vector]
    .filter(([, cost]) => cost > 0 && cost >= total * MINIMUM_SENT_SHARE)
    .sort(([, first], [, second]) => second - first)
    .slice(0, MAXIMUM_SERVICES)
    .map(([service, cost]) => [
      service,
      Math.min(MAXIMUM_COST_MS, Math.round(cost * 10) / 10),
    ]);
}

/**
 * Returns null if the value is not a vector, names a service that is not known,
 * or has a figure out of range. One wrong figure makes the others doubtful.
 */
export function decodeCosts(
  value: unknown,
  isKnownService: (service: string) => boolean,
): CostVector | null {
  if (!Array.isArray(value) || value.length === 0) return null;
  if (value.length > MAXIMUM_SERVICES) return null;
  const costs = new Map<string, number>();
  for (const pair of value as unknown[]) {
    if (!Array.isArray(pair) || pair.length !== 2) return null;
    const [service, cost] = pair as unknown[];
    if (typeof service !== 'string' || !isKnownService(service)) return null;
    if (typeof cost !== 'number' || !(cost >= 0 && cost <= MAXIMUM_COST_MS)) {
      return null;
    }
    if (costs.has(service)) return null;
    costs.set(service, cost);
  }
  return costs;
}
