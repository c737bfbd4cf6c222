import test from 'ava';
import * as fc from 'fast-check';
import * as toml from 'smol-toml';

import * as declaration from '../index.js';
import * as arbitraries from './arbitraries.js';

const SEED = 20_251;

test('a document round-trips through JSON', t => {
  // Guards against values that are lost or changed in the published document.
  fc.assert(
    fc.property(
      arbitraries.declarations,
      fc.integer({min: 1, max: 2 ** 40}),
      (item, revision) => {
        const document = declaration.compile(item, revision);
        const text = declaration.serializeDocument(document);
        const parsed = declaration.parsePublishedDocument(text);
        t.deepEqual(parsed, {ok: true, document});
      },
    ),
    {seed: SEED, numRuns: 200},
  );
});

test('a declaration round-trips through TOML', t => {
  // Guards against values that are lost or changed when a file is parsed.
  fc.assert(
    fc.property(arbitraries.declarations, item => {
      const policies = item.policies.map(policy => ({
        ...policy,
        selector: arbitraries.toTomlSelector(policy.selector),
      }));
      const text = toml.stringify({...item, policies});
      const parsed = declaration.parseDeclaration(text, 'file.toml');
      t.deepEqual(parsed, {ok: true, declaration: item});
    }),
    {seed: SEED, numRuns: 200},
  );
});

test('the digest depends on the revision but not on the order of items', t => {
  // Guards against a new digest for unchanged content, and against one digest
  // for two revisions.
  fc.assert(
    fc.property(arbitraries.declarations, item => {
      const reverse = <T>(values: readonly T[]) => [...values].reverse();
      const reversed: declaration.Declaration = {
        regions: reverse(item.regions).map(region => ({
          ...region,
          availabilityZones: reverse(region.availabilityZones),
        })),
        services: reverse(item.services),
        routes: reverse(item.routes).map(route => ({
          ...route,
          methods: reverse(route.methods),
        })),
        organisations: reverse(item.organisations).map(organisation => ({
          ...organisation,
          keyHashes: reverse(organisation.keyHashes),
        })),
        policies: reverse(item.policies),
      };
      const digest = declaration.documentDigest(declaration.compile(item, 7));
      t.is(
        declaration.documentDigest(declaration.compile(reversed, 7)),
        digest,
      );
      t.not(declaration.documentDigest(declaration.compile(item, 8)), digest);
    }),
    {seed: SEED, numRuns: 100},
  );
});

const valid = declaration.compile(
  fc.sample(arbitraries.declarations, {seed: SEED, numRuns: 1})[0]!,
  3,
);
const withField = (fields: object) => JSON.stringify({...valid, ...fields});
const repeatedItem = (count: number, value: string) =>
  `[${Array<string>(count).fill(value).join(',')}]`;
const uniqueKeys = Array.from({length: 90_000}, (_, index) => [`k${index}`, 1]);
let deepSelector: declaration.Selector = {kind: 'exists', label: 'service'};
for (let depth = 1; depth <= 16; depth++) {
  deepSelector = {kind: 'not', operand: deepSelector};
}
const policyWith = (selector: unknown) =>
  withField({
    policies: [
      {name: 'policy', precedence: 0, selector, settings: {retries: 1}},
    ],
  });

/**
 * Malformed and hostile documents. Guards against documents that are accepted,
 * make the parser throw or cause a report without bound.
 */
const invalidDocuments: ReadonlyArray<[string, string, RegExp]> = [
  ['an empty text', '', /not valid JSON/],
  ['a truncated text', JSON.stringify(valid).slice(0, -9), /not valid JSON/],
  ['null', 'null', /not a JSON object/],
  ['a list', '[]', /not a JSON object/],
  ['deep nesting', '['.repeat(400_000), /nested deeper than 40/],
  ['deep tables', '{"a":'.repeat(100_000), /nested deeper than 40/],
  ['a text above the limit', ' '.repeat(1_000_001), /larger than 1000000/],
  ['a text above the limit in bytes', 'é'.repeat(600_000), /larger than/],
  ['an unknown version', withField({formatVersion: 2}), /format version/],
  ['revision 0', withField({revision: 0}), /revision: must be/],
  ['a fractional revision', withField({revision: 1.5}), /revision: must be/],
  ['a string revision', withField({revision: '4'}), /revision: must be/],
  ['a missing section', withField({routes: undefined}), /routes: is missing/],
  [
    'a section that is null',
    withField({policies: null}),
    /policies: is not a list/,
  ],
  ['no service', withField({services: []}), /service: is not a declared/],
  ['a null item', withField({services: [null]}), /services\[0\]: must be/],
  ['an unknown field', withField({colour: 1}), /colour: is not a known field/],
  [
    '__proto__',
    `{"__proto__":{"formatVersion":1},${JSON.stringify(valid).slice(1)}`,
    /__proto__: is not a known field/,
  ],
  [
    'a label with the name of a prototype property',
    policyWith({kind: 'exists', label: 'constructor'}),
    /uses a label that no/,
  ],
  ['a selector that is too deep', policyWith(deepSelector), /deeper than 16/],
  [
    'an unknown selector',
    policyWith({kind: 'xor'}),
    /kind: must be a selector/,
  ],
  [
    'an empty operand list',
    policyWith({kind: 'and', operands: []}),
    /1 to 100/,
  ],
  [
    'many invalid items',
    `{"services":${repeatedItem(300_000, '{}')}}`,
    /more problems are not listed/,
  ],
  [
    'many invalid list entries',
    `{"regions":[{"availabilityZones":${repeatedItem(400_000, '1')}}]}`,
    /more than 10000 values/,
  ],
  [
    'many invalid labels',
    withField({
      services: [{name: 'a', labels: Object.fromEntries(uniqueKeys)}],
    }),
    /more than 10000 values/,
  ],
  [
    'many unknown fields',
    JSON.stringify(Object.fromEntries(uniqueKeys)),
    /more problems are not listed/,
  ],
];
for (const [name, text, expected] of invalidDocuments) {
  test(`parsePublishedDocument rejects ${name}`, t => {
    const parsed = declaration.parsePublishedDocument(text);
    if (parsed.ok) return t.fail('the document was accepted');
    t.true(parsed.problems.length <= 101);
    const lines = parsed.problems.map(declaration.formatProblem);
    t.regex(lines.join('\n'), expected);
    t.true(lines.every(line => line.length < 1_000));
  });
}

test('a corrupted document is rejected or yields a usable index', t => {
  // Guards against an accepted document that makes lookups throw or yields
  // settings that are not finite.
  const paths: string[][] = [];
  const collect = (value: unknown, path: string[]) => {
    paths.push(path);
    if (typeof value !== 'object' || value === null) return;
    for (const [key, member] of Object.entries(value)) {
      collect(member, [...path, key]);
    }
  };
  collect(valid, []);
  let accepted = 0;
  fc.assert(
    fc.property(
      fc.constantFrom(...paths.slice(1)),
      fc.jsonValue(),
      (path, value) => {
        const copy = structuredClone(valid) as unknown;
        let parent = copy as Record<string, unknown>;
        for (const key of path.slice(0, -1)) {
          parent = parent[key] as Record<string, unknown>;
        }
        parent[path.at(-1)!] = value;
        const text = JSON.stringify(copy);
        const parsed = declaration.parsePublishedDocument(text);
        if (!parsed.ok) {
          t.true(parsed.problems.length > 0);
          return;
        }
        accepted++;
        const index = new declaration.DocumentIndex(parsed.document);
        for (const route of parsed.document.routes) {
          const policy = index.effectivePolicy(route, null);
          t.true(Object.values(policy).every(Number.isFinite));
        }
      },
    ),
    {seed: SEED, numRuns: 3_000},
  );
  t.true(accepted > 0, 'no corrupted document was accepted');
});

test('parsePublishedDocumentAsync yields and returns the synchronous result', async t => {
  // Guards against a large document that blocks the event loop, and against a
  // result that depends on the way of parsing.
  const services = Array.from({length: 2_000}, (_, index) => ({
    name: `service-${index}`,
    labels: {},
  }));
  const texts = [
    withField({services: [...valid.services, ...services]}),
    withField({services: [...valid.services, ...services, {}]}),
  ];
  for (const text of texts) {
    let yieldCount = 0;
    const parsed = await declaration.parsePublishedDocumentAsync(
      text,
      () => (yieldCount++, Promise.resolve()),
    );
    t.deepEqual(parsed, declaration.parsePublishedDocument(text));
    t.true(yieldCount > 2_000 / 32, `only ${yieldCount} yields`);
  }
});

const refusedRevisions = [0, -1, 1.5, Number.NaN, 2 ** 53];
for (const revision of refusedRevisions) {
  test(`compile rejects revision ${revision}`, t => {
    // Guards against publishing a revision that daemons reject.
    t.throws(() => declaration.compile(valid, revision), {
      name: 'ConfigurationError',
      message: /pass the previous revision plus 1/,
    });
  });
}

test('compile rejects a document above the size limit of the platform', t => {
  // Guards against a compiled document that the platform cannot hold.
  const services = Array.from({length: 30_000}, (_, index) => ({
    name: `service-${index}`,
    labels: {},
  }));
  t.throws(() => declaration.compile({...valid, services}, 1), {
    name: 'ConfigurationError',
    message: /more than 1000000/,
  });
});
