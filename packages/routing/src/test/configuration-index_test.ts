import test from 'ava';
import * as configurationIndex from '../configuration-index.js';
import type * as configuration from '../fleet-configuration.js';

const ROUTE: configuration.Route = {
  name: 'parts',
  host: 'shop.example',
  prefix: '/parts/',
  idempotent: true,
  unrecognisedKind: null,
  timeoutMs: 1_000,
  objectiveMs: 500,
  priority: 1,
  maximumAttempts: 2,
  isPublic: false,
  destinations: [{service: 'catalogue', weight: 1}],
};

const ORGANISATION: configuration.Organisation = {
  name: 'saloum-mills',
  keys: ['key-1', 'key-2'],
  priority: null,
  ratePerSecond: 10,
  burst: 10,
};

function index(
  routes: ReadonlyArray<Partial<configuration.Route>>,
  keyPolicy: configuration.KeyPolicy = {
    kind: 'required',
    organisations: [ORGANISATION],
  },
): configurationIndex.ConfigurationIndex {
  return new configurationIndex.ConfigurationIndex({
    version: 3,
    routes: routes.map(route => ({...ROUTE, ...route})),
    services: [],
    keyPolicy,
    limits: {
      maximumHeaderBytes: 16_384,
      maximumBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  });
}

/** Guards against matching the route of a shorter prefix. */
const MATCHES: ReadonlyArray<readonly [string, string, string, string | null]> =
  [
    ['the only prefix', 'shop.example', '/parts/7', 'parts'],
    ['the longest prefix', 'shop.example', '/parts/old/7', 'old-parts'],
    ['a host in other case', 'SHOP.example', '/parts/7', 'parts'],
    ['a host with a port', 'shop.example:80', '/parts/7', 'parts'],
    ['another host', 'other.example', '/parts/7', null],
    ['a path without the closing slash', 'shop.example', '/parts', null],
    ['another path', 'shop.example', '/bays/7', null],
  ];
for (const [name, host, path, expected] of MATCHES) {
  test(`route of ${name}`, t => {
    const routes = index([{}, {name: 'old-parts', prefix: '/parts/old/'}]);
    t.is(routes.matchRoute(host, path)?.name ?? null, expected);
  });
}

/** Guards against requests without the permission of an organisation. */
const KEYS: ReadonlyArray<
  readonly [
    string,
    Partial<configuration.Route>,
    string | null,
    string,
    string | null,
  ]
> = [
  ['a known key', {}, 'key-2', 'allowed', 'saloum-mills'],
  ['an unknown key', {}, 'key-3', 'unknown', null],
  ['no key', {}, null, 'missing', null],
  ['no key on a public route', {isPublic: true}, null, 'allowed', null],
  [
    'a known key on a public route',
    {isPublic: true},
    'key-1',
    'allowed',
    'saloum-mills',
  ],
];
for (const [name, route, key, kind, organisation] of KEYS) {
  test(`key check of ${name}`, t => {
    const verdict = index([route]).checkKey({...ROUTE, ...route}, key);
    t.is(verdict.kind as string, kind);
    t.is(
      verdict.kind === 'allowed' ? (verdict.organisation?.name ?? null) : null,
      organisation,
    );
  });
}

/** Guards against requests without a key once no organisation is left. */
const KEY_POLICIES: ReadonlyArray<
  readonly [string, configuration.KeyPolicy, string | null, string]
> = [
  ['optional, no key', {kind: 'optional'}, null, 'allowed'],
  ['optional, a key', {kind: 'optional'}, 'key-1', 'allowed'],
  [
    'required, no organisations, no key',
    {kind: 'required', organisations: []},
    null,
    'missing',
  ],
  [
    'required, no organisations, a key',
    {kind: 'required', organisations: []},
    'key-1',
    'unknown',
  ],
];
for (const [name, keyPolicy, key, expected] of KEY_POLICIES) {
  test(`key check with keys ${name}`, t => {
    const verdict = index([{}], keyPolicy).checkKey(ROUTE, key);
    t.is(verdict.kind as string, expected);
  });
}

/** Guards against destinations that receive less than their weight. */
const SPLITS: ReadonlyArray<readonly [string, readonly number[]]> = [
  ['one destination', [1]],
  ['equal weights', [50, 50]],
  ['unequal weights', [90, 10]],
  ['three destinations', [70, 20, 10]],
  ['a destination with weight 0', [100, 0]],
];
for (const [name, weights] of SPLITS) {
  test(`split of ${name}`, t => {
    const destinations = weights.map((weight, position) => ({
      service: `part-${position}`,
      weight,
    }));
    const configuredIndex = index([{destinations}]);
    const [route] = configuredIndex.configuration.routes;
    const counts = new Map<string, number>();
    const requests = 200;
    for (let request = 0; request < requests; request++) {
      const service = configuredIndex.nextService(route) ?? 'none';
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    for (const {service, weight} of destinations) {
      const expectedCount = (requests * weight) / total;
      t.true(
        Math.abs((counts.get(service) ?? 0) - expectedCount) <= 1,
        service,
      );
    }
  });
}
