import type * as routing from '@camphorwharf/routing';

/** A configuration with one route and one organisation. */
export function fleetConfiguration(
  version = 1,
  route: Partial<routing.Route> = {},
  organisation: Partial<routing.Organisation> = {},
  services: readonly routing.ServiceSettings[] = [],
): routing.FleetConfiguration {
  return {
    version,
    routes: [
      {
        name: 'parts',
        host: 'shop.example',
        prefix: '/parts/',
        idempotent: true,
        unrecognisedKind: null,
        timeoutMs: 3_000,
        objectiveMs: 1_000,
        priority: 1,
        maximumAttempts: 2,
        isPublic: false,
        destinations: [{service: 'parts', weight: 1}],
        ...route,
      },
    ],
    services,
    keyPolicy: {
      kind: 'required',
      organisations: [
        {
          name: 'saloum-mills',
          keys: ['key-1'],
          priority: null,
          ratePerSecond: 0,
          burst: 0,
          ...organisation,
        },
      ],
    },
    limits: {
      maximumHeaderBytes: 16_384,
      maximumBodyBytes: 10_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}
