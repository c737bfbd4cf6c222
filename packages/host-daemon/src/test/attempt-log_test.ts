import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as requestLogger from '../request-logger.js';
import * as fixtures from './fleet-fixture.js';
import * as helpers from './test-helpers.js';

const ATTEMPT_EVENTS: ReadonlySet<string> = new Set([
  'attempt-ended',
  'attempt-started',
  'cancel-query-answered',
  'request-retried',
  'request-unknown',
]);

/** An expected line: its event, its attempt and some of its fields. */
type Line = readonly [string, runtime.LogFields];

interface Case {
  readonly idempotent: boolean;
  /** How the first server that is reached behaves; all others are sound. */
  readonly first: fixtures.BackendHandler;
  readonly lines: readonly Line[];
}

/**
 * Guards against a request that ran twice without a line that says which daemon
 * concluded that it had not run, or from what (rule TWICE, issue 33).
 */
const CASES: Readonly<Record<string, Case>> = {
  'a first attempt succeeds: no line': {
    idempotent: false,
    first: (request, response) =>
      fixtures.sendValidResponse(request, response, 'done'),
    lines: [],
  },
  'the server refuses': {
    idempotent: false,
    first: (_request, response) =>
      response
        .writeHead(503, {'x-request': 'request-1', 'x-not-run': '1'})
        .end(),
    lines: [
      [
        'attempt-ended',
        {
          attempt: 1,
          outcome: 'refused',
          reason: 'overloaded',
          sign: 'notExecutedField',
          status: 503,
          connectionUses: 1,
          hasTrailingBytes: false,
          hasProof: false,
        },
      ],
      [
        'request-retried',
        {
          attempt: 1,
          reason: 'overloaded',
          concludedBy: 'backendServer',
          idempotent: false,
        },
      ],
      ['attempt-started', {attempt: 2}],
      ['attempt-ended', {attempt: 2, outcome: 'answer', status: 200}],
    ],
  },
  'the server is another instance': {
    idempotent: false,
    first: (_request, response) =>
      response
        .writeHead(421, {'x-request': 'request-1', 'x-not-run': '1'})
        .end(),
    lines: [
      [
        'attempt-ended',
        {
          attempt: 1,
          outcome: 'refused',
          reason: 'targetUnavailable',
          sign: 'misdirected',
          status: 421,
        },
      ],
      ['request-retried', {attempt: 1, concludedBy: 'backendServer'}],
      ['attempt-started', {attempt: 2}],
      ['attempt-ended', {attempt: 2, outcome: 'answer', status: 200}],
    ],
  },
  'the connection ends after the request was sent': {
    idempotent: false,
    first: request => request.socket.resetAndDestroy(),
    lines: [
      ['attempt-ended', {attempt: 1, outcome: 'unknown', reason: 'answerLost'}],
      ['request-unknown', {reason: 'answerLost'}],
    ],
  },
  'an idempotent request is refused: only its retry is logged': {
    idempotent: true,
    first: (_request, response) =>
      response
        .writeHead(503, {'x-request': 'request-1', 'x-not-run': '1'})
        .end(),
    lines: [
      [
        'request-retried',
        {attempt: 1, concludedBy: 'backendServer', idempotent: true},
      ],
    ],
  },
};
for (const [name, {idempotent, first, lines}] of Object.entries(CASES)) {
  test(`lines on attempts: ${name}`, async t => {
    const fixture = await helpers.startFleet(2, {idempotent});
    breakFirst(fixture, first);
    await fixture.request(fixture.hosts[0], '/parts/7');
    fixture.close();
    assertLines(t, fixture, lines);
  });
}

test('lines on attempts: no byte was written to the server', async t => {
  // Guards against a conclusion from an unwritten connection that the log of the
  // target's daemon doesn't show.
  const fixture = await helpers.startFleet(1, {idempotent: false});
  const [host] = fixture.hosts;
  await new Promise(resolve => host.backendServer.close(resolve));
  const response = await fixture.request(host, '/parts/7');
  fixture.close();
  t.is(response.status, 503);
  const sign = 'connectionNotWritten';
  assertLines(t, fixture, [
    ['attempt-ended', {attempt: 1, outcome: 'refused', sign}],
    ['request-retried', {attempt: 1, concludedBy: 'thisDaemon'}],
  ]);
});

test('a storm of refusals does not hide the lines on attempts', async t => {
  // Guards against lines on requests that ran twice which were left out because
  // other lines used up the budget.
  const fixture = await helpers.startFleet(2, {idempotent: false});
  const [entry] = fixture.hosts;
  await Promise.all(
    Array.from({length: 120}, () => fixture.request(entry, '/unknown/7')),
  );
  const storm = CASES['the server refuses'];
  breakFirst(fixture, storm.first);
  await fixture.request(entry, '/parts/7');
  fixture.close();
  const refusals = entry.logLines.filter(
    ({event}) => event === 'request-refused',
  );
  t.true(refusals.length < 120, 'the storm exceeds the budget');
  assertLines(t, fixture, storm.lines);
});

const BUDGETS: readonly requestLogger.LineBudget[] = ['general', 'runsOnce'];
for (const budget of BUDGETS) {
  test(`the lines of the budget ${budget} are bounded and counted`, async t => {
    // Guards against a log that grows with an overload, and against lines that
    // are left out unnoticed.
    const clock = new runtime.ManualClock();
    const metrics = new runtime.Metrics();
    const lines: Array<runtime.LogFields | undefined> = [];
    const log = new requestLogger.RequestLogger(
      {...runtime.silentLogger, info: (_event, fields) => lines.push(fields)},
      metrics,
      clock,
    );
    for (let line = 0; line < 100; line++) log.log('storm', {}, budget);
    t.is(lines.length, 80);
    await clock.advance(1_000);
    for (let line = 0; line < 100; line++) log.log('storm', {}, budget);
    t.is(lines.length, 100);
    t.deepEqual(lines[80], {omitted: 20});
    const counted = `log_lines_omitted_total{budget="${budget}"} 100`;
    t.true((await metrics.exposition()).includes(counted));
  });
}

/** The first server that a request reaches behaves as `first`. */
function breakFirst(
  fixture: fixtures.FleetFixture,
  first: fixtures.BackendHandler,
): void {
  let isReached = false;
  for (const host of fixture.hosts) {
    const sound = host.handler;
    host.handler = (...exchange) => {
      const handler = isReached ? sound : first;
      isReached = true;
      handler(...exchange);
    };
  }
}

/** Checks the lines of all hosts on attempts, in any order. */
function assertLines(
  t: {deepEqual(actual: unknown, expected: unknown): void},
  fixture: fixtures.FleetFixture,
  expected: readonly Line[],
): void {
  const logged = fixture.hosts
    .flatMap(host => host.logLines)
    .filter(({event}) => ATTEMPT_EVENTS.has(event));
  const key = (event: string, fields: runtime.LogFields = {}) =>
    `${event} ${String(fields.attempt)}`;
  const byKey = new Map(
    logged.map(({event, fields}) => [key(event, fields), fields ?? {}]),
  );
  t.deepEqual(
    logged.map(({event, fields}) => key(event, fields)).sort(),
    expected.map(([event, fields]) => key(event, fields)).sort(),
  );
  for (const [event, fields] of expected) {
    const actual = byKey.get(key(event, fields)) ?? {};
    const found = Object.keys(fields).map(name => [name, actual[name]]);
    t.deepEqual(Object.fromEntries(found), fields);
    t.deepEqual(actual.requestId, 'request-1');
    t.deepEqual(typeof actual.instance, 'string');
    const hasAge = typeof actual.connectionAgeMs === 'number';
    t.deepEqual(hasAge, 'status' in actual);
  }
}
