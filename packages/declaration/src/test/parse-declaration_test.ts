import * as fs from 'node:fs';

import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as fc from 'fast-check';

import * as declaration from '../index.js';

const HASH = 'ab'.repeat(32);
// The line numbers in the cases below refer to this text.
const VALID = `[[regions]]
name = "west"
weight = 0.75
cells = 1
availabilityZones = ["w1", "w2"]
[[regions]]
name = "east"
weight = 0.25
cells = 1
availabilityZones = [
  "e1", # a comment with [brackets] and "quotes"
  "e2",
]
[[services]]
name = "catalogue"
[services.labels]
tier = "lookup"
[[routes]]
name = "parts"
service = "catalogue"
methods = ["GET"]
pathPrefix = "/parts"
idempotent = true
importance = 2
labels = {purpose = "read"}
[[organisations]]
name = "alpha"
ratePerSecond = 10
burst = 20
keyHashes = ["${HASH}"]
labels = {size = "large"}
[[policies]]
name = "timeouts"
precedence = 1
selector = {and = [{label = "tier", in = ["lookup"]}, {not = {label = "size", exists = true}}]}
settings = {timeoutMs = 1000}
`;

test('a valid declaration is accepted and defaults are applied', t => {
  // Guards against a valid declaration that is rejected or loses its defaults.
  const parsed = declaration.parseDeclaration(VALID, 'file.toml');
  if (!parsed.ok) return t.fail(formatAll(parsed));
  t.like(parsed.declaration.routes[0], {open: false, methods: ['GET']});
  t.deepEqual(parsed.declaration.policies[0]?.selector, {
    kind: 'and',
    operands: [
      {kind: 'in', label: 'tier', values: ['lookup']},
      {kind: 'not', operand: {kind: 'exists', label: 'size'}},
    ],
  });
});

/**
 * Text to replace, replacement and prefix of the expected problem. Guards
 * against problems that are missed or reported at a wrong line or path.
 */
const cases: ReadonlyArray<[string, string, string]> = [
  ['weight = 0.75', 'weight = 0.5', ':1: regions: has weights that do not'],
  ['weight = 0.75', 'weight = 0', ':3: regions[0].weight: must be a number'],
  ['weight = 0.75', 'weight = nan', ':3: regions[0].weight: must be a number'],
  ['cells = 1', 'cells = 1.5', ':4: regions[0].cells: must be a whole number'],
  ['cells = 1\n', '', ':1: regions[0].cells: is missing'],
  ['"east"', '"west"', ':7: regions[1].name: is already the name of'],
  ['"e2"', '"w1"', ':12: regions[1].availabilityZones[1]: is already an'],
  ['"e2"', '"e1"', ':12: regions[1].availabilityZones[1]: is already an'],
  ['"w1", "w2"', '', ':5: regions[0].availabilityZones: must be a list of 1'],
  ['tier =', 'route =', ':17: services[0].labels.route: is a reserved label'],
  ['tier =', 'size =', ':31: organisations[0].labels.size: is a label name'],
  ['tier =', '"a b" =', ':17: services[0].labels.a b: must have a label name'],
  [
    '[[routes]]',
    '[[services]]\nname = "other"\n[services.labels]\ntier = 5\n[[routes]]',
    ':21: services[1].labels.tier: must be a text',
  ],
  ['"lookup"\n', '7\n', ':17: services[0].labels.tier: must be a text'],
  ['service = "cat', 'service = "bat', ':20: routes[0].service: is not a decl'],
  ['["GET"]', '["get"]', ':21: routes[0].methods[0]: must be an upper-case'],
  ['["GET"]', '["PUT", "PUT"]', ':21: routes[0].methods[1]: is listed twice'],
  ['"/parts"', '"parts"', ':22: routes[0].pathPrefix: must be a path of whole'],
  ['"/parts"', '"/parts/"', ':22: routes[0].pathPrefix: must be a path of'],
  [
    '"/parts"',
    '"/a/../b"',
    ':22: routes[0].pathPrefix: must be a path without',
  ],
  ['idempotent = true\n', '', ':18: routes[0].idempotent: is missing'],
  ['importance = 2', 'importance = 4', ':24: routes[0].importance: must be a'],
  ['importance = 2', 'importnace = 2', ':24: routes[0].importnace: is not a'],
  ['= 10\n', '= "10/s"\n', ':28: organisations[0].ratePerSecond: must be a'],
  ['burst = 20', 'burst = 3', ':29: organisations[0].burst: gives less than'],
  [HASH, HASH.toUpperCase(), ':30: organisations[0].keyHashes[0]: must be a S'],
  [HASH, HASH.slice(1), ':30: organisations[0].keyHashes[0]: must be a SHA'],
  [
    '[[policies]]',
    `[[organisations]]\nname = "beta"\nratePerSecond = 1\nburst = 9\nkeyHashes = ["${HASH}"]\n[[policies]]`,
    ':36: organisations[1].keyHashes[0]: is already a key hash of organisation a',
  ],
  [
    '[[organisations]]',
    '[[routes]]\nname = "other"\nservice = "catalogue"\nmethods = ["PUT", "GET"]\npathPrefix = "/parts"\nidempotent = true\nimportance = 1\n[[organisations]]',
    ':29: routes[1].methods[1]: overlaps with route parts',
  ],
  [
    'precedence = 1',
    'precedence = 0.1',
    ':34: policies[0].precedence: must be',
  ],
  ['"tier"', '"teir"', ':35: policies[0].selector: uses a label that no'],
  ['"tier"', '"service"', ':35: policies[0].selector: is not the name of a'],
  ['["lookup"]}', '[]}', ':35: policies[0].selector.and[0].in: must be a list'],
  ['in = ["lookup"]', 'on = 1', ':35: policies[0].selector.and[0]: is not a'],
  ['exists = true', 'exists = false', ':35: policies[0].selector.and[1].not.e'],
  ['selector = ', 'elector = ', ':32: policies[0].selector: is missing'],
  ['{timeoutMs = 1000}', '{}', ':36: policies[0].settings: must be a table'],
  ['= 1000', '= 300001', ':36: policies[0].settings.timeoutMs: must be a wh'],
  ['timeoutMs =', 'timeout =', ':36: policies[0].settings.timeout: is not a'],
  [
    'timeoutMs =',
    'maximumQueue =',
    ':36: policies[0].settings.maximumQueue: has one value per service',
  ],
  ['[[services]]', '[[service]]', ':14: service: is not a known section'],
  ['weight = 0.75', 'weight = ', ':3: is not valid TOML'],
  ['[[regions]]', '[regions]', ':6: is not valid TOML'],
];
for (const [text, replacement, expected] of cases) {
  test(`reports the line and path for ${JSON.stringify(text.slice(0, 30))} replaced by ${JSON.stringify(replacement.slice(0, 60))}`, t => {
    t.true(VALID.includes(text), 'the case does not change the text');
    const changed = VALID.replace(text, replacement);
    const parsed = declaration.parseDeclaration(changed, 'file.toml');
    if (parsed.ok) return t.fail('the declaration was accepted');
    const lines = formatAll(parsed).split('\n');
    t.true(
      lines.some(line => line.startsWith(`file.toml${expected}`)),
      lines.join('\n'),
    );
    t.true(parsed.problems.every(problem => problem.remedy !== ''));
  });
}

test('problems of several items and sections are reported together', t => {
  // Guards against a report that ends at the first problem.
  const changed = VALID.replace('cells = 1', 'cells = 0')
    .replace('importance = 2', 'importance = "high"')
    .replace('burst = 20', 'burst = -1')
    .replace('"tier"', '"organisation"');
  const parsed = declaration.parseDeclaration(changed, 'file.toml');
  if (parsed.ok) return t.fail('the declaration was accepted');
  t.deepEqual(
    parsed.problems.map(problem => problem.path),
    [
      'regions[0].cells',
      'routes[0].importance',
      'organisations[0].burst',
      'policies[0].selector',
    ],
  );
});

// Guards against memory growing quadratically with the parts of a dotted key,
// which used gigabytes for the line index of such a key.
const longKeys = [`[${'a.'.repeat(100_000)}a]`, `a${'.a'.repeat(100_000)} = 1`];
for (const text of longKeys) {
  test(`a dotted key with many parts is reported: ${text.slice(0, 8)}…`, t => {
    const parsed = declaration.parseDeclaration(text, 'file.toml');
    if (parsed.ok) return t.fail('the declaration was accepted');
    t.regex(formatAll(parsed), /^file\.toml:1: a: is not a known section/m);
  });
}

test('parsing a corrupted declaration never throws', t => {
  // Guards against an exception and against a rejection without any problem.
  const corruption = fc.tuple(
    fc.nat(VALID.length),
    fc.nat(8),
    fc.constantFrom('', '[', ']', '{', '"', "'", '=', '.', '\n', '\\', '#'),
  );
  fc.assert(
    fc.property(
      fc.array(corruption, {minLength: 1, maxLength: 3}),
      corruptions => {
        let text = VALID;
        for (const [start, length, inserted] of corruptions) {
          text = text.slice(0, start) + inserted + text.slice(start + length);
        }
        const parsed = declaration.parseDeclaration(text, 'file.toml');
        t.true(parsed.ok || parsed.problems.length > 0);
      },
    ),
    {seed: 20_253, numRuns: 1_000},
  );
});

const examples = [
  {deployment: 'teranga', targets: 5, slots: 35},
  {deployment: 'sahab', targets: 6, slots: 100},
];
for (const {deployment, targets, slots} of examples) {
  test(`example ${deployment} is valid and its rates match the catalogue capacity`, t => {
    // Guards against examples that do not fit the demo: other keys than its
    // callers use, or rates other than 60 % of the capacity of the catalogue.
    const file = new URL(
      `../../../../examples/${deployment}/declaration.toml`,
      import.meta.url,
    );
    const text = fs.readFileSync(file, 'utf8');
    const parsed = declaration.parseDeclaration(text, deployment);
    if (!parsed.ok) return t.fail(formatAll(parsed));
    const {organisations, routes} = parsed.declaration;
    t.is(organisations.length, 8);
    for (const {name, keyHashes} of organisations) {
      t.deepEqual(keyHashes, [runtime.sha256Hex(`${name}-demo-key`)]);
    }
    const rate = organisations.reduce(
      (sum, item) => sum + item.ratePerSecond,
      0,
    );
    // At 20 ms per call, each slot serves 50 calls per second.
    t.is(rate, targets * slots * 50 * 0.6);
    t.is(routes.filter(route => route.open).length, 1);
    t.true(routes.every(route => route.idempotent || route.importance <= 1));
  });
}

function formatAll(parsed: declaration.ParsedDeclaration): string {
  return parsed.ok
    ? ''
    : parsed.problems.map(declaration.formatProblem).join('\n');
}
