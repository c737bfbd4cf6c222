import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

import * as declaration from '@camphorwharf/declaration';
import test from 'ava';

import * as daemonClient from '../daemon-client.js';
import * as commandLine from '../index.js';
import * as runCommand from './run-command.js';

const root = url.fileURLToPath(new URL('../../../../', import.meta.url));
const teranga = path.join(root, 'examples/teranga/declaration.toml');
const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'camphorwharf-'));
test.after.always(() => fs.rmSync(directory, {recursive: true}));

/** Writes a file to the temporary directory and returns its path. */
function writeTestFile(name: string, text: string): string {
  const target = path.join(directory, name);
  fs.writeFileSync(target, text);
  return target;
}

const text = fs.readFileSync(teranga, 'utf8');
const parsed = declaration.parseDeclaration(text, teranga);
if (!parsed.ok) throw new Error('the example is invalid');
const document = declaration.compile(parsed.declaration, 7);
const published = writeTestFile(
  'published.json',
  declaration.serializeDocument(document),
);
const moreCells = writeTestFile(
  'cells.toml',
  text.replace('cells = 1', 'cells = 2'),
);
const invalid = writeTestFile(
  'invalid.toml',
  text.replace('weight = 1', 'weight = 3'),
);
const newRate = writeTestFile(
  'faster.toml',
  text.replace('ratePerSecond = 900', 'ratePerSecond = 950'),
);
const damaged = writeTestFile('damaged.json', '{"formatVersion":1');
const call = ['--service', 'workshop', '--method', 'POST', '--path'];

/** Arguments, exit code, and patterns of the standard output and error. */
const cases: ReadonlyArray<[string[], number, RegExp, RegExp]> = [
  [[], 0, /camphorwharf drain/, /^$/],
  [['check', teranga], 0, /valid[^]*5250 tokens\/s/, /^$/],
  [['check', published], 0, /organisations\s+8/, /^$/],
  [
    ['check', invalid],
    1,
    /^$/,
    /invalid\.toml:12: regions\[0\]\.weight: must be .* \(found 3\)\. Set /,
  ],
  [['check', damaged], 1, /^$/, /is not valid JSON.*Publish the output/],
  [['check', path.join(directory, 'none')], 1, /^$/, /cannot be read \(ENOENT/],
  [['check', '--json', invalid], 1, /"line": 12/, /regions/],
  [['check'], 2, /^$/, /Not enough positional/],
  [['check', teranga, '--colour'], 2, /^$/, /Unsupported option/],
  [['unknown'], 2, /^$/, /Command not found/],
  [
    [
      'explain',
      teranga,
      ...call,
      '/bookings',
      '--organisation',
      'saloum-mills',
    ],
    0,
    /timeoutMs +10000 +policy orders/,
    /^$/,
  ],
  [['explain', teranga, ...call, '/bookings'], 1, /^$/, /is not open; name/],
  [['explain', teranga, ...call, '/none'], 1, /^$/, /no route of service work/],
  [['explain', teranga], 2, /^$/, /explain .*--service/],
  [['diff', published, teranga], 0, /^no changes\n$/, /^$/],
  [['diff', published, newRate], 0, /saloum-mills\.rate.* 900 -> 950/, /^$/],
  [['diff', published, published], 1, /no changes/, /revision 7 is not higher/],
  [['diff', published, moreCells], 1, /cells/, /Keep 1 cells/],
  [['compile', teranga, '--revision', '8'], 0, /^\{.*"revision":8/, /^$/],
  [['compile', teranga, '--revision', '0'], 1, /^$/, /pass the previous/],
  [['compile', teranga, '--revision', '8.5'], 2, /^$/, /is not a whole number/],
  [['compile', teranga, '--revision', '-1'], 2, /^$/, /./],
  [['compile', invalid, '--revision', '8'], 1, /^$/, /weight/],
  [
    ['compile', teranga, '--revision', '7', '--previous', published],
    1,
    /^$/,
    /revision 7 is not higher than 7\. Compile with a revision of at least 8/,
  ],
  [
    ['compile', moreCells, '--revision', '8', '--previous', published],
    1,
    /^$/,
    /fixed for the life of a region/,
  ],
  [
    ['compile', teranga, '--revision', '8', '--previous', damaged],
    1,
    /^$/,
    /damaged\.json/,
  ],
  [['compile', teranga, '--revision', '8', '--output', damaged], 1, /^$/, /./],
  [['status', 'localhost'], 2, /^$/, /is not HOST:PORT/],
  [['status', 'host:0'], 2, /^$/, /is not HOST:PORT/],
  [['drain', 'http://host:1'], 2, /^$/, /is not HOST:PORT/],
];
for (const [args, exitCode, stdout, stderr] of cases) {
  const name = args.map(arg => path.basename(arg)).join(' ');
  test(`"${name}" exits with ${exitCode} and prints the cause`, async t => {
    const result = await runCommand.run(...args);
    t.is(result.exitCode, exitCode, result.stderr);
    t.regex(result.stdout, stdout);
    t.regex(result.stderr, stderr);
  });
}

for (const {paths} of commandLine.COMMANDS) {
  const name = paths?.[0]?.join(' ') ?? '';
  test(`${name} --help shows an example and the exit codes`, async t => {
    const {exitCode, stdout} = await runCommand.run(name, '--help');
    t.is(exitCode, 0);
    t.regex(stdout, new RegExp(`Examples[^]*\\$ camphorwharf ${name} \\S`));
    t.regex(stdout, /Exit codes: 0 ok/);
  });
}

test('compile replaces its output only with a higher revision', async t => {
  const output = path.join(directory, 'next.json');
  const compile = (revision: number) =>
    runCommand.run(
      'compile',
      teranga,
      '--revision',
      String(revision),
      '--output',
      output,
    );
  t.is((await compile(8)).exitCode, 0);
  const first = fs.readFileSync(output, 'utf8');
  t.is((await compile(8)).exitCode, 1);
  t.is(fs.readFileSync(output, 'utf8'), first);
  t.is((await compile(9)).exitCode, 0);
  const second = declaration.parsePublishedDocument(
    fs.readFileSync(output, 'utf8'),
  );
  t.like(second, {ok: true, document: {revision: 9}});
  const leftovers = fs.readdirSync(directory).filter(f => f.endsWith('.tmp'));
  t.deepEqual(leftovers, []);
});

const statusFields = {
  hostId: 'host-a',
  service: 'billing',
  revision: 7,
  digest: 'ab'.repeat(32),
  cell: 'west/0',
  view: {number: 4, proposer: 'host-b', active: true},
  limits: {concurrency: 15, queue: 60},
  sheddingThreshold: {importance: 2, rank: 0.25},
  inFlight: 3,
  waiting: 1,
  leaving: false,
};
type Stub = readonly [status: number, body: string];
const ok = (fields: object = {}): Stub => [
  200,
  JSON.stringify({...statusFields, ...fields}),
];
const closed = 'closed';

/** Responses of the daemons, exit code, and patterns of the outputs. */
const statusCases: ReadonlyArray<
  [string, ReadonlyArray<Stub | typeof closed>, number, RegExp, RegExp]
> = [
  [
    'one daemon',
    [ok()],
    0,
    /host-a +billing +7 +abababababab +west\/0 +4\/host-b +true +15 +60 +2\/0\.250 +3 +1 +false/,
    /^$/,
  ],
  ['agreement', [ok(), ok({hostId: 'host-b', inFlight: 0})], 0, /host-b/, /^$/],
  ['different revisions', [ok(), ok({revision: 8})], 3, /8/, /disagree/],
  ['different digests', [ok(), ok({digest: 'cd'})], 3, /cd/, /disagree/],
  ['no document', [ok(), ok({revision: null})], 3, /-/, /disagree/],
  ['missing fields', [[200, '{"revision":7}']], 0, / - +- +7 +- /, /^$/],
  ['no revision', [[200, '{}']], 4, /^$/, /other than a status/],
  ['no JSON', [[200, '<html>']], 4, /^$/, /other than a status/],
  ['an error status', [[503, '']], 4, /^$/, /answered with status 503/],
  ['an oversized body', [[200, ' '.repeat(1_000_001)]], 4, /^$/, /too long/],
  ['no response', [ok(), closed], 4, /host-a/, /no answer \(ECONNRESET\)/],
  [
    'no response and a disagreement',
    [ok(), closed, ok({revision: 6})],
    3,
    /host-a/,
    /ECONNRESET[^]*disagree/,
  ],
  [
    'control characters',
    [ok({hostId: 'a\u001b[2J\u009bb'})],
    0,
    /a\?\[2J\?b/,
    /^$/,
  ],
];
for (const [name, stubs, exitCode, stdout, stderr] of statusCases) {
  test(`status with ${name} exits with ${exitCode}`, async t => {
    const addresses: string[] = [];
    for (const stub of stubs) addresses.push(await serve(t, stub));
    const result = await runCommand.run('status', ...addresses);
    t.is(result.exitCode, exitCode, result.stderr);
    t.regex(result.stdout, stdout);
    t.regex(result.stderr, stderr);
    const json = await runCommand.run('status', '--json', ...addresses);
    t.is(json.exitCode, exitCode);
    const report = JSON.parse(json.stdout) as {ok: boolean; daemons: object[]};
    t.is(report.ok, exitCode === 0);
    t.is(report.daemons.length, stubs.length);
  });
}

const drainCases: ReadonlyArray<[Stub | typeof closed, number, RegExp]> = [
  [[202, ''], 0, /^$/],
  [[200, ''], 1, /refused to drain with status 200/],
  [[404, 'no'], 1, /refused to drain with status 404/],
  [closed, 4, /received the request is unknown/],
];
for (const [stub, exitCode, stderr] of drainCases) {
  test(`drain with response ${stub[0]} exits with ${exitCode}`, async t => {
    const receivedRequests: string[] = [];
    const address = await serve(t, stub, receivedRequests);
    const result = await runCommand.run('drain', address);
    t.is(result.exitCode, exitCode);
    t.regex(result.stderr, stderr);
    t.deepEqual(receivedRequests, stub === closed ? [] : ['POST /drain']);
  });
}

for (const sent of ['nothing', 'headers'] as const) {
  test(`a status request times out after the daemon sent ${sent}`, async t => {
    const server = http.createServer((_request, response) => {
      if (sent === 'headers') response.writeHead(200).write('{');
    });
    const address = await listen(t, server);
    t.deepEqual(await daemonClient.fetchStatus(address, 50), {
      ok: false,
      message: 'no answer within 50 ms',
    });
  });
}

test('a status request times out in the middle of the response body', async t => {
  // Guards against a timeout that is reported as a connection reset: once the
  // headers have arrived, the response stream fails before the request does.
  const server = http.createServer((_request, response) => {
    response.writeHead(200).write('{');
  });
  const address = await listen(t, server);
  t.deepEqual(await daemonClient.fetchStatus(address, 1_000), {
    ok: false,
    message: 'no answer within 1000 ms',
  });
});

/** Starts an operator endpoint, which for `closed` closes each connection. */
async function serve(
  t: {teardown(close: () => void): void},
  stub: Stub | typeof closed,
  receivedRequests: string[] = [],
): Promise<string> {
  const server = http.createServer((request, response) => {
    receivedRequests.push(`${request.method} ${request.url}`);
    response.writeHead(Number(stub[0])).end(stub[1]);
  });
  if (stub === closed) server.on('connection', socket => socket.destroy());
  return listen(t, server);
}

async function listen(
  t: {teardown(close: () => void): void},
  server: http.Server,
): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const {port} = server.address() as net.AddressInfo;
  return `127.0.0.1:${port}`;
}
