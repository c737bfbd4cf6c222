import * as http from 'node:http';
import type * as net from 'node:net';
import test from 'ava';
import * as runCommand from './run-command.js';

const CANDIDATE = {
  costMs: 51.2,
  waitMs: 0,
  runMs: 40,
  penalty: 0.25,
  calls: 3,
  sampledShare: 1,
  chosenShare: 0.75,
};
const TARGET = {
  instance: 'i-1',
  host: '10.0.0.5',
  zone: 'a',
  slots: 10,
  isListedCold: false,
  exclusion: null,
  candidate: CANDIDATE,
};
const PREVIEW = {
  kind: 'preview',
  route: 'r',
  organisation: 'o',
  nested: false,
  configuration: 7,
  limit: {
    ratePerSecond: 20,
    burst: 40,
    tokens: 0.5,
    isScarce: true,
    grantedShare: 0,
    retryAfterMs: 50,
  },
  memory: {
    responseBytes: 2_048,
    responseLimitBytes: 4_096,
    responseBytesWaiting: 0,
    receivedBodyBytes: 0,
  },
  refusal: null,
  destinations: [
    {
      service: 's',
      share: 0.5,
      isNext: true,
      admittedShare: 0,
      refusal: 'limitExceeded',
      shedding: {
        source: 'serviceCost',
        saturatedService: 'deep',
        pressure: 0.3,
        share: 0.4,
        priority: 9,
      },
      targets: [
        TARGET,
        {...TARGET, instance: 'i-2', exclusion: 'draining', candidate: null},
      ],
      omittedTargets: 3,
    },
  ],
  omittedDestinations: 2,
};

/** Guards against a request whose way or refusal operators misread. */
const CASES: Readonly<
  Record<string, readonly [number, string, number, RegExp, RegExp]>
> = {
  'a preview': [
    200,
    JSON.stringify(PREVIEW),
    0,
    /^route r, o, configuration 7\nlimit: 0\.5 of 40 tokens, 20 per second; grants 0% now, next token in 50 ms\nmemory: responses 2 KiB of 4 KiB, 0 KiB waiting; [^\n]*\n\nservice s, 50% of the requests, next: 0% admitted \(limitExceeded\)\nshed by serviceCost deep: 40% of priority 9, pressure 0\.30\ninstance [^\n]*\ni-1 +10\.0\.0\.5 +a +75% +51 +0 +40 +0\.25 +3\.0 +10 +100% +-\ni-2 +10\.0\.0\.5 +a( +-){6} +10 +- +draining\n3 more backend servers are not shown\n\n2 more services are not shown\n$/,
    /^$/,
  ],
  'a refusal of all': [
    200,
    JSON.stringify({...PREVIEW, refusal: 'keyMissing', organisation: null}),
    0,
    /^route r, no key, [^\n]*\nrefused: keyMissing\n[\s\S]*not admitted/,
    /^$/,
  ],
  'an unknown route': [
    404,
    '{"kind":"unknown","subject":"route","known":["a","b"]}',
    1,
    /^$/,
    /has no route x y\. Use [^.]* a, b\./,
  ],
  'an organisation of a configuration without any': [
    404,
    '{"kind":"unknown","subject":"organisation","known":[]}',
    1,
    /^$/,
    /has no organisation o&p\. It has none\./,
  ],
  'no configuration': [503, '{"kind":"notReady"}', 4, /^$/, /documentMissing/],
  'no such path': [404, 'Not found.\n', 4, /^$/, /answered with status 404/],
  'another object': [200, '{}', 4, /^$/, /something other than a preview/],
};
for (const [name, [status, body, exitCode, stdout, stderr]] of Object.entries(
  CASES,
)) {
  test(`where with ${name} exits with ${exitCode}`, async t => {
    const paths: Array<string | undefined> = [];
    const server = http.createServer((request, response) => {
      paths.push(request.url);
      response.writeHead(status).end(body);
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const options = ['--route', 'x y', '--organisation', 'o&p'];
    const result = await runCommand.run('where', address, ...options);
    server.close();
    t.is(result.exitCode, exitCode, result.stderr);
    t.regex(result.stdout, stdout);
    t.regex(result.stderr, stderr);
    t.deepEqual(paths, ['/where?route=x+y&organisation=o%26p']);
  });
}

test('where without a daemon, an address or a route', async t => {
  const absent = await runCommand.run('where', '127.0.0.1:1', '--route', 'r');
  t.is(absent.exitCode, 4);
  t.regex(absent.stderr, /no answer \(ECONNREFUSED\)/);
  t.is(
    (await runCommand.run('where', '127.0.0.1', '--route', 'r')).exitCode,
    2,
  );
  t.is((await runCommand.run('where', '127.0.0.1:1')).exitCode, 2);
});

test('a daemon that does not answer in time is named', async t => {
  // Guards against a command that waits for good.
  const server = http.createServer(() => undefined);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const results = await Promise.all([
    runCommand.run('where', address, '--route', 'r'),
    runCommand.run('report', address),
  ]);
  server.closeAllConnections();
  server.close();
  for (const {exitCode, stderr} of results) {
    t.is(exitCode, 4);
    t.regex(stderr, /^127\.0\.0\.1:\d+: no answer within 3000 ms\./);
  }
});
