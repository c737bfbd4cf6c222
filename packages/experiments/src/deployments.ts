import type * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';

/** A service of the call chain, sized as in section 1 of `docs/design.md`. */
export interface ServiceSize {
  readonly name: string;
  readonly targets: number;
  readonly slots: number;
  /** Maximum number of calls in flight; further calls are refused. */
  readonly connections: number;
  /** Mean service time of a call, excluding its downstream call. */
  readonly meanMs: number;
}

/** A chain of three services; each calls the next one. */
export interface Deployment {
  readonly name: string;
  readonly chain: readonly ServiceSize[];
  /** One-way network delay between daemons. */
  readonly oneWayMs: number;
  /** One-way network delay between a caller and its entry daemon. */
  readonly clientOneWayMs: number;
  readonly entryDaemons: number;
  readonly document: declaration.PublishedDocument;
}

/** Sum of the agreed rates, as a share of the bottleneck's capacity. */
export const AGREED_CAPACITY_SHARE = 0.6;

/** Share of the calls in each importance class, class 0 first. */
const IMPORTANCE_SHARES: ReadonlyArray<
  readonly [protocol.ImportanceClass, number]
> = [
  [0, 0.05],
  [1, 0.15],
  [2, 0.4],
  [3, 0.4],
];

/** Relative agreed rates of the organisations; a few dominate. */
const ORGANISATION_WEIGHTS = [8, 4, 2, 2, 1, 1, 1, 1];

/** Returns the name of the route for a class in the published document. */
export function routeName(importance: protocol.ImportanceClass): string {
  return `class-${importance}`;
}

/** Maps a uniform draw in [0, 1) to an importance class. */
export function importanceForDraw(draw: number): protocol.ImportanceClass {
  let cumulativeShare = 0;
  for (const [importance, share] of IMPORTANCE_SHARES) {
    cumulativeShare += share;
    if (draw < cumulativeShare) return importance;
  }
  return 3;
}

/** Calls per second that the last service of the chain can complete. */
export function bottleneckPerSecond(deployment: Deployment): number {
  const last = deployment.chain[deployment.chain.length - 1];
  return (last.targets * last.slots * 1_000) / last.meanMs;
}

function createDocument(
  chain: readonly ServiceSize[],
): declaration.PublishedDocument {
  const last = chain[chain.length - 1];
  const agreedPerSecond =
    (AGREED_CAPACITY_SHARE * last.targets * last.slots * 1_000) / last.meanMs;
  const totalWeight = ORGANISATION_WEIGHTS.reduce(
    (sum, weight) => sum + weight,
    0,
  );
  return {
    formatVersion: 1,
    revision: 1,
    regions: [{name: 'region', weight: 1, cells: 1, availabilityZones: ['a']}],
    services: chain.map(service => ({name: service.name, labels: {}})),
    routes: IMPORTANCE_SHARES.map(([importance]) => ({
      name: routeName(importance),
      service: chain[0].name,
      methods: ['POST'],
      pathPrefix: `/${importance}`,
      open: false,
      idempotent: false,
      importance,
      labels: {},
    })),
    organisations: ORGANISATION_WEIGHTS.map((weight, index) => ({
      name: `organisation-${index + 1}`,
      labels: {},
      ratePerSecond: (agreedPerSecond * weight) / totalWeight,
      burst: (agreedPerSecond * weight) / totalWeight,
      keyHashes: [],
    })),
    policies: [],
  };
}

function createDeployment(
  name: string,
  oneWayMs: number,
  chain: readonly ServiceSize[],
): Deployment {
  return {
    name,
    chain,
    oneWayMs,
    clientOneWayMs: 1,
    entryDaemons: chain.reduce((sum, service) => sum + service.targets, 0),
    document: createDocument(chain),
  };
}

/** Deployments by name; billing is the bottleneck of both chains. */
export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  teranga: createDeployment('teranga', 1, [
    {name: 'warranty', targets: 3, slots: 50, connections: 400, meanMs: 10},
    {name: 'catalogue', targets: 5, slots: 35, connections: 300, meanMs: 15},
    {name: 'billing', targets: 3, slots: 15, connections: 200, meanMs: 30},
  ]),
  sahab: createDeployment('sahab', 0.5, [
    {name: 'bookings', targets: 4, slots: 150, connections: 1_000, meanMs: 10},
    {name: 'dispatch', targets: 3, slots: 200, connections: 1_300, meanMs: 15},
    {name: 'billing', targets: 3, slots: 20, connections: 250, meanMs: 30},
  ]),
};
