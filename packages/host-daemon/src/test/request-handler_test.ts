import * as admission from '@camphorwharf/admission';
import * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as routing from '@camphorwharf/routing';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import type * as requestBody from '../request-body.js';
import * as requestHandler from '../request-handler.js';
import * as requestLogger from '../request-logger.js';
import * as fleetState from '../fleet-state.js';
import type * as requestForwarder from '../request-forwarder.js';
import * as stopSchedule from '../stop-schedule.js';
import * as workScheduler from '../work-scheduler.js';
import * as fixtures from './fleet-fixture.js';
import * as sampleConfiguration from './sample-configuration.js';

interface Overrides {
  /** Value of the header; null for a request without it. */
  readonly key?: string | null;
  readonly path?: string;
  /** Milliseconds since the platform last confirmed the configuration. */
  readonly configurationAgeMs?: number;
  readonly byCost?: admission.CostDecision;
  readonly body?: requestBody.BodyFailure;
  readonly keyPolicy?: routing.KeyPolicy;
}

/** Handles one request under the given pressures. */
async function handleRequest(
  ownPressure: number,
  downstreamPressure: number,
  isLagging = false,
  isFirstOnConnection = false,
  overrides: Overrides = {},
) {
  const clock = new runtime.ManualClock(1_000);
  const random = new runtime.SeededRandom(1);
  const metrics = new runtime.Metrics();
  const logLines: runtime.LogFields[] = [];
  const logger: runtime.Logger = {
    ...runtime.silentLogger,
    info: (_event, fields = {}) => void logLines.push(fields),
  };
  const state = new fleetState.FleetState({
    decoder: {
      configuration: text => JSON.parse(text) as routing.FleetConfiguration,
      backendServer: () => {
        throw new Error('No backend server is listed.');
      },
    },
    logger: runtime.silentLogger,
    metrics,
    platformReadsPerSecond: 2_000,
    entryRenewalMs: 1_500,
    onConfiguration: () => undefined,
    onServers: () => undefined,
    onContact: () => undefined,
  });
  state.onConfigurationRead(
    JSON.stringify({
      ...sampleConfiguration.fleetConfiguration(),
      ...(overrides.keyPolicy ? {keyPolicy: overrides.keyPolicy} : {}),
    }),
    0,
  );
  if (overrides.configurationAgeMs !== undefined) {
    const contactMs = clock.monotonicMs() - overrides.configurationAgeMs;
    state.onContact('configuration', true, contactMs);
  }
  const {byCost} = overrides;
  const entryPressure = new admission.PressureTable();
  entryPressure.update('parts', downstreamPressure, clock.monotonicMs());
  let forwarded = 0;
  const forwarder = {
    forward: () => {
      forwarded++;
      return Promise.resolve({
        kind: 'answer',
        status: 200,
        headers: [],
        body: new Uint8Array(0),
      });
    },
  } as unknown as requestForwarder.RequestForwarder;
  const handler = new requestHandler.RequestHandler({
    clock,
    random,
    metrics,
    requestLog: new requestLogger.RequestLogger(logger, metrics, clock),
    binding: fixtures.BINDING,
    state,
    limits: new fleetLimits.FleetRateLimits(
      new fleetLimits.FleetMembers('10.0.0.1'),
      0,
      random,
    ),
    entryPressure,
    ...(byCost ? {costs: {decide: () => byCost}} : {}),
    monitor: {processPressure: ownPressure},
    scheduler: new workScheduler.WorkScheduler({
      clock,
      metrics,
      isLagging: () => isLagging,
    }),
    forwarder,
    stopSchedule: new stopSchedule.StopSchedule(6_000),
  });
  const client = new runtime.CancelSource();
  const pending = handler.handle({
    method: 'GET',
    path: overrides.path ?? '/parts/7',
    rawHeaders: [],
    headers: {
      'host': 'shop.example',
      ...(overrides.key === null
        ? {}
        : {authorization: overrides.key ?? 'Key key-1'}),
      'x-request': 'request-1',
      'x-remaining': '3000',
    },
    isFirstOnConnection,
    arrivedMs: clock.monotonicMs(),
    signal: client,
    untilEarlierAnswered: () => Promise.resolve(),
    readBody: () =>
      Promise.resolve(overrides.body ?? {kind: 'body', body: null}),
  });
  // The client's disconnect is read in the same event loop iteration.
  if (isLagging || isFirstOnConnection) setImmediate(() => client.abort());
  const response = await pending;
  const exposition = await metrics.exposition();
  return {status: response?.status, forwarded, logged: logLines, exposition};
}

/** Guards against work for requests that cannot be answered in time. */
const CASES: ReadonlyArray<
  readonly [string, number, number, number, string | undefined]
> = [
  ['no pressure: forwarded', 0, 0, 200, undefined],
  ['an overload of this process: refused', 1, 0, 503, 'thisProcess'],
  ['an overload downstream: refused', 0, 1, 503, 'servicesBelow'],
  [
    'both: refused with the higher one as the source',
    0.999,
    1,
    503,
    'servicesBelow',
  ],
];
for (const [name, ownPressure, downstreamPressure, status, shedBy] of CASES) {
  test(`a request under ${name}`, async t => {
    const result = await handleRequest(ownPressure, downstreamPressure);
    t.is(result.status, status);
    t.is(result.forwarded, status === 200 ? 1 : 0);
    t.is(result.logged.at(-1)?.shedBy, shedBy);
  });
}

test('a refusal by cost names the saturated service', async t => {
  // Guards against refusals whose cause an operator cannot find.
  const {exposition, logged, status} = await handleRequest(0, 0, false, false, {
    byCost: {kind: 'refuse', service: 'store', pressure: 0.5, share: 1},
  });
  t.is(status, 503);
  t.is(logged.at(-1)?.shedBy, 'serviceCost');
  t.is(logged.at(-1)?.saturatedService, 'store');
  t.regex(
    exposition,
    /requests_shed_total\{priority="1",service="store",source="serviceCost"\} 1/,
  );
});

/** Guards against requests that end without a log line or a count. */
const BODIES: ReadonlyArray<
  readonly [
    kind: requestBody.BodyFailure['kind'],
    reason: string | undefined,
    series: string,
  ]
> = [
  ['aborted', undefined, 'requests_abandoned_total{nested="false"} 1'],
  ['tooLong', 'bodyTooLong', 'place="entry",reason="bodyTooLong"} 1'],
  ['tinyChunks', 'bodyTinyChunks', 'place="entry",reason="bodyTinyChunks"} 1'],
];
for (const [kind, reason, series] of BODIES) {
  test(`a request whose body is ${kind} is counted and logged`, async t => {
    const body = {kind};
    const result = await handleRequest(0, 0, false, false, {body});
    t.is(result.logged.length, 1);
    t.like(result.logged[0], {
      requestId: 'request-1',
      route: 'parts',
      service: 'parts',
      organisation: 'saloum-mills',
      nested: false,
    });
    t.is(result.logged[0].reason, reason);
    t.true(result.exposition.includes(series));
  });
}

test('a lagging process reads a client disconnect before forwarding', async t => {
  // Guards against forwarding requests whose clients have disconnected (found
  // with sahab-hire, mix --seed 799376693848).
  const result = await handleRequest(0, 0, true);
  t.is(result.forwarded, 0);
  t.regex(result.exposition, /requests_abandoned_total\{nested="false"\} 1/);
  t.is(result.logged.length, 1);
  t.is(result.status, undefined);
});

test('a request whose client left during connection setup is not forwarded', async t => {
  // Guards against requests that a process that is not lagging reads together with
  // the end of their connection, because connection setup was delayed by a
  // second (rule GONE, found with sahab-hire-grown quiet-1).
  const result = await handleRequest(0, 0, false, true);
  t.is(result.forwarded, 0);
  t.is(result.status, undefined);
});

const NO_ORGANISATIONS: routing.KeyPolicy = {
  kind: 'required',
  organisations: [],
};

/**
 * Guards against permanent refusals based on an old configuration: clients do
 * not retry after them, although a change that was confirmed seconds ago allows
 * the request (rule CONFIG, issue 16).
 */
const PERMANENT_REFUSALS: ReadonlyArray<
  readonly [string, Overrides, number, string]
> = [
  ['unknown key, fresh', {key: 'Key other'}, 401, 'keyUnknown'],
  [
    'a key, no organisation left, fresh',
    {keyPolicy: NO_ORGANISATIONS},
    401,
    'keyUnknown',
  ],
  [
    'no key, no organisation left, fresh',
    {keyPolicy: NO_ORGANISATIONS, key: null},
    401,
    'keyMissing',
  ],
  ['unknown route, fresh', {path: '/other'}, 404, 'routeUnknown'],
  ['unknown key, stale', {key: 'Key other'}, 503, 'configurationStale'],
  ['no key, stale', {key: ''}, 503, 'configurationStale'],
  ['unknown route, stale', {path: '/other'}, 503, 'configurationStale'],
];
for (const [name, overrides, status, reason] of PERMANENT_REFUSALS) {
  test(`a request that the configuration rejects: ${name}`, async t => {
    const configurationAgeMs = name.endsWith('fresh') ? 1_000 : 3_000;
    const result = await handleRequest(0, 0, false, false, {
      ...overrides,
      configurationAgeMs,
    });
    t.is(result.status, status);
    t.is(result.forwarded, 0);
    t.is(result.logged.at(-1)?.reason, reason);
    t.is(result.logged.at(-1)?.configurationAgeMs, configurationAgeMs);
  });
}
