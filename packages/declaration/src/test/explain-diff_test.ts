import test from 'ava';

import * as declaration from '../index.js';

const document: declaration.PublishedDocument = {
  formatVersion: 1,
  revision: 5,
  regions: [{name: 'west', weight: 1, cells: 2, availabilityZones: ['w1']}],
  services: [{name: 'catalogue', labels: {tier: 'lookup'}}],
  routes: [
    {
      name: 'parts',
      service: 'catalogue',
      methods: ['GET', 'HEAD'],
      pathPrefix: '/parts',
      open: false,
      idempotent: true,
      importance: 2,
      labels: {methods: 'any'},
    },
    {
      name: 'public',
      service: 'catalogue',
      methods: [],
      pathPrefix: '/public',
      open: true,
      idempotent: true,
      importance: 3,
      labels: {},
    },
  ],
  organisations: [
    {
      name: 'alpha',
      labels: {size: 'large'},
      ratePerSecond: 10,
      burst: 20,
      keyHashes: ['aa'.repeat(32)],
    },
  ],
  policies: [
    {
      name: 'b-large',
      precedence: 5,
      selector: {kind: 'in', label: 'size', values: ['large']},
      settings: {timeoutMs: 900, retries: 1},
    },
    {
      name: 'a-lookup',
      precedence: 5,
      selector: {kind: 'in', label: 'tier', values: ['lookup']},
      settings: {timeoutMs: 700},
    },
    {
      name: 'c-other',
      precedence: 9,
      selector: {kind: 'notIn', label: 'route', values: ['parts', 'public']},
      settings: {timeoutMs: 100},
    },
  ],
};
const call = {
  service: 'catalogue',
  method: 'GET',
  path: '/parts/7',
  organisation: 'alpha',
};

test('explainCall reports the result of each policy and the source of each setting', t => {
  // Guards against an explanation that omits a policy or names a wrong source.
  const explanation = declaration.explainCall(document, call);
  if (!explanation.ok) return t.fail(explanation.message);
  t.deepEqual(
    explanation.policies.map(policy => [policy.name, policy.selects]),
    [
      ['c-other', false],
      ['a-lookup', true],
      ['b-large', true],
    ],
  );
  t.is(explanation.policies[0]?.evaluation.labelValue, 'parts');
  const sources = new Map(
    explanation.settings.map(({setting, source}) => [setting, source]),
  );
  t.deepEqual(sources.get('timeoutMs'), {kind: 'policy', policy: 'a-lookup'});
  t.deepEqual(sources.get('retries'), {kind: 'policy', policy: 'b-large'});
  t.deepEqual(sources.get('importance'), {kind: 'route', route: 'parts'});
  t.deepEqual(sources.get('maximumQueue'), {kind: 'default'});
  t.deepEqual(declaration.resolvePolicy(document, call), {
    ...declaration.DEFAULT_POLICY,
    importance: 2,
    timeoutMs: 700,
    retries: 1,
  });
});

test('a call on an open route has no organisation labels', t => {
  // Guards against policies of an organisation on a route without a key check.
  const explanation = declaration.explainCall(document, {
    ...call,
    path: '/public',
  });
  if (!explanation.ok) return t.fail(explanation.message);
  t.is(explanation.organisation, null);
  t.deepEqual(Object.keys(explanation.labels), ['tier', 'service', 'route']);
});

const refusals = [
  [{service: 'billing'}, 'unknownService'],
  [{path: '/orders'}, 'noRoute'],
  [{method: 'POST'}, 'noRoute'],
  [{organisation: 'beta'}, 'unknownOrganisation'],
  [{organisation: null}, 'keyRequired'],
] as const;
for (const [change, reason] of refusals) {
  test(`explainCall rejects a call with ${JSON.stringify(change)} as ${reason}`, t => {
    // Guards against explaining a call that a daemon would refuse.
    const refused = {...call, ...change};
    t.like(declaration.explainCall(document, refused), {ok: false, reason});
    t.is(declaration.resolvePolicy(document, refused), null);
  });
}

type Mutable<T> = {-readonly [K in keyof T]: Mutable<T[K]>};
type Edit = (copy: Mutable<declaration.PublishedDocument>) => void;
/**
 * Title, edit of a copy, expected changes and expected forbidden paths. Guards
 * against changes that are not shown and forbidden ones that are accepted.
 */
const edits: ReadonlyArray<[string, Edit, string[], string[]]> = [
  ['nothing', () => {}, [], []],
  [
    'a rate',
    copy => (copy.organisations[0]!.ratePerSecond = 11),
    ['changed organisations.alpha.ratePerSecond'],
    [],
  ],
  [
    'a revoked and a new key',
    copy => (copy.organisations[0]!.keyHashes = ['bb'.repeat(32)]),
    [
      'removed organisations.alpha.keyHashes',
      'added organisations.alpha.keyHashes',
    ],
    [],
  ],
  ['the order of methods', copy => copy.routes[0]!.methods.reverse(), [], []],
  // A label with the name of a list field must not be compared as a list.
  [
    'a label',
    copy => (copy.routes[0]!.labels = {methods: 'many', extra: 'x'}),
    ['added routes.parts.labels.extra', 'changed routes.parts.labels.methods'],
    [],
  ],
  [
    'items',
    copy => {
      copy.services[0]!.name = 'billing';
      copy.policies.pop();
    },
    [
      'added services.billing',
      'removed services.catalogue',
      'removed policies.c-other',
    ],
    [],
  ],
  [
    'a selector and a setting',
    copy =>
      Object.assign(copy.policies[0]!, {
        selector: {kind: 'exists', label: 'size'},
        settings: {retries: 1},
      }),
    [
      'changed policies.b-large.selector',
      'removed policies.b-large.settings.timeoutMs',
    ],
    [],
  ],
  [
    'the number of cells',
    copy => (copy.regions[0]!.cells = 3),
    ['changed regions.west.cells'],
    ['regions.west.cells'],
  ],
  [
    'the name of a region and its cells',
    copy => Object.assign(copy.regions[0]!, {name: 'east', cells: 3}),
    ['added regions.east', 'removed regions.west'],
    [],
  ],
  ['the same revision', copy => (copy.revision = 5), [], ['revision']],
  ['a lower revision', copy => (copy.revision = 4), [], ['revision']],
];
for (const [name, edit, changes, forbidden] of edits) {
  test(`diffDocuments detects changes: ${name}`, t => {
    const copy = structuredClone(
      document,
    ) as Mutable<declaration.PublishedDocument>;
    copy.revision = 6;
    edit(copy);
    const difference = declaration.diffDocuments(document, copy);
    t.deepEqual(
      difference.changes.map(change => `${change.kind} ${change.path}`),
      changes,
    );
    t.deepEqual(
      difference.forbidden.map(change => change.path),
      forbidden,
    );
  });
}
