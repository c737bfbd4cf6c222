import test from 'ava';
import * as fc from 'fast-check';

import * as declaration from '../index.js';
import * as selectors from '../selector.js';
import * as arbitraries from './arbitraries.js';

const SEED = 20_252;

const route = (
  name: string,
  pathPrefix: string,
  methods: readonly string[] = [],
): declaration.Route => ({
  name,
  service: 'catalogue',
  methods,
  pathPrefix,
  open: false,
  idempotent: true,
  importance: 1,
  labels: {},
});
const document: declaration.PublishedDocument = {
  formatVersion: 1,
  revision: 1,
  regions: [{name: 'west', weight: 1, cells: 1, availabilityZones: ['w1']}],
  services: [
    {name: 'catalogue', labels: {}},
    {name: 'rootless', labels: {}},
  ],
  routes: [
    route('root', '/'),
    route('parts', '/parts'),
    route('parts-read', '/parts', ['GET', 'HEAD']),
    route('wheels', '/parts/wheels', ['POST']),
    route('deep', '/a/b/c/d'),
    {...route('orders', '/orders'), service: 'rootless'},
  ],
  organisations: [
    {
      name: 'alpha',
      labels: {},
      ratePerSecond: 1,
      burst: 1,
      keyHashes: ['aa'.repeat(32), 'bb'.repeat(32)],
    },
  ],
  policies: [],
};
const index = new declaration.DocumentIndex(document);

/** Guards against paths that match a wrong route or bypass a protected one. */
const routeCases: ReadonlyArray<[string, string, string, string | null]> = [
  ['catalogue', 'GET', '/parts', 'parts-read'],
  ['catalogue', 'GET', '/parts/', 'parts-read'],
  ['catalogue', 'GET', '/parts?sort=/wheels', 'parts-read'],
  ['catalogue', 'PUT', '/parts', 'parts'],
  ['catalogue', 'get', '/parts', 'parts'],
  ['catalogue', 'POST', '/parts/wheels/7', 'wheels'],
  // The longest matching prefix has no route for the method; a shorter one has.
  ['catalogue', 'GET', '/parts/wheels/7', 'parts-read'],
  ['catalogue', 'GET', '/parts-admin', 'root'],
  ['catalogue', 'GET', '/PARTS', 'root'],
  ['catalogue', 'GET', '/parts/wheels-of/7', 'parts-read'],
  ['catalogue', 'GET', '/a/b/c', 'root'],
  ['catalogue', 'GET', '/a/b/c/d', 'deep'],
  ['catalogue', 'GET', '/a/b/c/d/e/f/g', 'deep'],
  ['catalogue', 'GET', '', 'root'],
  ['catalogue', 'GET', '?x=/../y', 'root'],
  ['catalogue', 'GET', '/', 'root'],
  ['catalogue', 'GET', '/...', 'root'],
  // Without decoding, these would bypass the protected prefix: they would match
  // the root route.
  ['catalogue', 'GET', '/%70arts/7', 'parts-read'],
  ['catalogue', 'GET', '/x%20y', 'root'],
  ['catalogue', 'GET', '/x/../parts', null],
  ['catalogue', 'GET', '/x/%2e%2E/parts', null],
  ['catalogue', 'GET', '/x/..%2fparts', null],
  ['catalogue', 'GET', '/x%2Fparts', null],
  ['catalogue', 'GET', '/./parts', null],
  ['catalogue', 'GET', '/parts/..', null],
  ['catalogue', 'GET', '//parts', null],
  ['catalogue', 'GET', '/x\\..\\parts', null],
  ['catalogue', 'GET', '/x%5cparts', null],
  ['catalogue', 'GET', '/parts%00', null],
  ['catalogue', 'GET', '/parts%', null],
  ['catalogue', 'GET', '/%ff', null],
  ['catalogue', 'GET', 'parts', null],
  ['rootless', 'GET', '/', null],
  ['rootless', 'GET', '/parts', null],
  ['rootless', 'GET', '/orders/1', 'orders'],
  ['unknown', 'GET', '/parts', null],
  ['constructor', 'GET', '/parts', null],
];
for (const [service, method, path, expected] of routeCases) {
  test(`service ${service}: ${method} ${JSON.stringify(path)} matches route ${expected}`, t => {
    t.is(index.matchRoute(service, method, path)?.name ?? null, expected);
  });
}

test('lookups by name and key hash return null for unknown values', t => {
  // Guards against a lookup that misses its item or returns another one.
  t.is(index.organisationByKeyHash('bb'.repeat(32))?.name, 'alpha');
  t.is(index.organisationByKeyHash('cc'.repeat(32)), null);
  t.is(index.organisation('alpha')?.burst, 1);
  t.is(index.organisation('beta'), null);
  t.is(index.region('west')?.cells, 1);
  t.is(index.region('east'), null);
});

const labels = new Map([
  ['tier', 'x'],
  ['service', 'catalogue'],
]);
const tierIsX: declaration.Selector = {
  kind: 'in',
  label: 'tier',
  values: ['x'],
};
const tierIsY: declaration.Selector = {
  kind: 'in',
  label: 'tier',
  values: ['y'],
};
const unsetLabel = {label: 'size', values: ['x']};
const selectorCases: ReadonlyArray<[declaration.Selector, boolean]> = [
  [tierIsX, true],
  [tierIsY, false],
  [{kind: 'in', ...unsetLabel}, false],
  [{kind: 'notIn', label: 'tier', values: ['x']}, false],
  [{kind: 'notIn', label: 'tier', values: ['y']}, true],
  [{kind: 'notIn', ...unsetLabel}, true],
  [{kind: 'exists', label: 'tier'}, true],
  [{kind: 'exists', label: 'size'}, false],
  [{kind: 'not', operand: tierIsX}, false],
  [{kind: 'and', operands: [tierIsX, tierIsY]}, false],
  [{kind: 'and', operands: [tierIsX, tierIsX]}, true],
  [{kind: 'or', operands: [tierIsY, tierIsX]}, true],
  [{kind: 'or', operands: [tierIsY, tierIsY]}, false],
];
for (const [selector, expected] of selectorCases) {
  test(`selector ${selectors.formatSelector(selector)} evaluates to ${expected}`, t => {
    // Guards against an explanation that differs from the result for calls.
    t.is(selectors.selectorMatches(selector, labels), expected);
    t.is(selectors.evaluateSelector(selector, labels).matches, expected);
  });
}

test('effective policy follows precedence and is independent of policy order', t => {
  // Guards against settings of a call that change with the order of policies in
  // the document or with an earlier lookup.
  fc.assert(
    fc.property(arbitraries.declarations, fc.nat(), (item, rotation) => {
      const compiled = declaration.compile(item, 1);
      const {policies} = compiled;
      const offset = rotation % (policies.length + 1);
      const rotated = new declaration.DocumentIndex({
        ...compiled,
        policies: [...policies.slice(offset), ...policies.slice(0, offset)],
      });
      const original = new declaration.DocumentIndex(compiled);
      for (const called of compiled.routes) {
        for (const caller of [null, ...compiled.organisations]) {
          const policy = original.effectivePolicy(called, caller);
          t.deepEqual(rotated.effectivePolicy(called, caller), policy);
          t.is(original.effectivePolicy(called, caller), policy);
          t.deepEqual(policy, expectedPolicy(compiled, called, caller));
          if (called.open) t.is(original.effectivePolicy(called, null), policy);
          const {retryRatio, maximumConcurrency, maximumQueue} = policy;
          t.deepEqual(original.servicePolicy(called.service), {
            retryRatio,
            maximumConcurrency,
            maximumQueue,
          });
        }
      }
    }),
    {seed: SEED, numRuns: 150},
  );
});

/** Reference implementation: per setting, the highest precedence wins. */
function expectedPolicy(
  {policies, services}: declaration.PublishedDocument,
  called: declaration.Route,
  caller: declaration.Organisation | null,
): Record<string, number> {
  const callLabels = new Map<string, string>([
    ...Object.entries(services.find(s => s.name === called.service)!.labels),
    ...Object.entries(called.labels),
    ['service', called.service],
    ['route', called.name],
  ]);
  if (caller !== null && !called.open) {
    callLabels.set('organisation', caller.name);
    for (const [name, value] of Object.entries(caller.labels)) {
      callLabels.set(name, value);
    }
  }
  const result: Record<string, number> = {
    ...declaration.DEFAULT_POLICY,
    importance: called.importance,
  };
  const decidingPolicies = new Map<string, declaration.Policy>();
  for (const policy of policies) {
    if (!selectors.selectorMatches(policy.selector, callLabels)) continue;
    for (const [setting, value] of Object.entries(policy.settings)) {
      const deciding = decidingPolicies.get(setting);
      if (
        deciding === undefined ||
        policy.precedence > deciding.precedence ||
        (policy.precedence === deciding.precedence &&
          policy.name < deciding.name)
      ) {
        decidingPolicies.set(setting, policy);
        result[setting] = value as number;
      }
    }
  }
  return result;
}
