import type * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';

/** One service of the call chain, in the sizes of design section 1. */
export interface ServiceSize {
  readonly name: string;
  readonly targets: number;
  readonly slots: number;
  readonly connections: number;
  /** Mean own work of one call, without its downstream call. */
  readonly meanMs: number;
}

/** A chain of three services; each calls the next one. */
export interface Deployment {
  readonly name: string;
  readonly chain: readonly ServiceSize[];
  readonly oneWayMs: number;
  readonly clientOneWayMs: number;
  readonly entryDaemons: number;
  readonly document: declaration.PublishedDocument;
}

/** Part of the bottleneck's capacity that the agreed rates add up to. */
export const AGREED_PART = 0.6;

/** Share of the calls in each importance class, class 0 first. */
const CLASS_PARTS: ReadonlyArray<readonly [protocol.ImportanceClass, number]> =
  [
    [0, 0.05],
    [1, 0.15],
    [2, 0.4],
    [3, 0.4],
  ];

/** Relative rates of the eight organisations; a few are large. */
const ORGANISATION_WEIGHTS = [8, 4, 2, 2, 1, 1, 1, 1];

/** Name of the route of a class, as in the published document. */
export function routeName(importance: protocol.ImportanceClass): string {
  return `class-${importance}`;
}

/** Draws the class of a call from a number in [0, 1). */
export function classOf(draw: number): protocol.ImportanceClass {
  let sum = 0;
  for (const [importance, part] of CLASS_PARTS) {
    sum += part;
    if (draw < sum) return importance;
  }
  return 3;
}

/** Calls per second that the last service of the chain can complete. */
export function bottleneckPerSecond(deployment: Deployment): number {
  const last = deployment.chain[deployment.chain.length - 1];
  return (last.targets * last.slots * 1_000) / last.meanMs;
}

function publish(chain: readonly ServiceSize[]): declaration.PublishedDocument {
  const last = chain[chain.length - 1];
  const agreed =
    (AGREED_PART * last.targets * last.slots * 1_000) / last.meanMs;
  const total = ORGANISATION_WEIGHTS.reduce((sum, weight) => sum + weight, 0);
  return {
    formatVersion: 1,
    revision: 1,
    regions: [{name: 'region', weight: 1, cells: 1, availabilityZones: ['a']}],
    services: chain.map(service => ({name: service.name, labels: {}})),
    routes: CLASS_PARTS.map(([importance]) => ({
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
      ratePerSecond: (agreed * weight) / total,
      burst: (agreed * weight) / total,
      keyHashes: [],
    })),
    policies: [],
  };
}

function build(
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
    document: publish(chain),
  };
}

/** The current deployments; billing is the bottleneck of both chains. */
export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  teranga: build('teranga', 1, [
    {name: 'warranty', targets: 3, slots: 50, connections: 400, meanMs: 10},
    {name: 'catalogue', targets: 5, slots: 35, connections: 300, meanMs: 15},
    {name: 'billing', targets: 3, slots: 15, connections: 200, meanMs: 30},
  ]),
  sahab: build('sahab', 0.5, [
    {name: 'bookings', targets: 4, slots: 150, connections: 1_000, meanMs: 10},
    {name: 'dispatch', targets: 3, slots: 200, connections: 1_300, meanMs: 15},
    {name: 'billing', targets: 3, slots: 20, connections: 250, meanMs: 30},
  ]),
};
