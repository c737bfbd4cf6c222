import * as util from 'node:util';
import type * as routing from '@camphorwharf/routing';
import test from 'ava';
import type * as requestPreview from '../request-preview.js';
import * as statusServer from '../status-server.js';
import * as helpers from './test-helpers.js';
import * as previewFixture from './preview-fixture.js';
import * as sampleConfiguration from './sample-configuration.js';
import * as servers from './sample-servers.js';

const SERVICES: readonly routing.ServiceSettings[] = [
  {
    name: 'parts',
    healthPath: '/health',
    maximumConnections: 100,
    coldStart: {durationMs: 60_000, perSecond: 0.01},
  },
];

function server(name: string, overrides: Partial<routing.BackendServer> = {}) {
  const hostAddress = `10.0.0.${name}`;
  return servers.backendServer(name, {hostAddress, ...overrides});
}

const LISTED: readonly routing.BackendServer[] = [
  server('free', {startedAtMs: 2}),
  server('alsoFree'),
  server('old', {hostAddress: '10.0.0.free', startedAtMs: 1}),
  server('busy'),
  server('away'),
  server('down'),
  server('cold', {coldRemainingMs: 60_000}),
  server('drains', {phase: 'draining'}),
  server('far', {availabilityZone: 'b'}),
  server('evacuated', {availabilityZone: 'c'}),
];

function createSender(
  organisation: Partial<routing.Organisation> = {},
  route: Partial<routing.Route> = {},
  listed = LISTED,
) {
  const sender = previewFixture.createSender(
    sampleConfiguration.fleetConfiguration(1, route, organisation, SERVICES),
    listed,
  );
  const {clock, loadBalancer, state} = sender;
  const nowMs = clock.monotonicMs();
  const evacuation = {key: 'c', revision: 2, text: 'yes'};
  state.onEvacuationsListed([evacuation], 2, nowMs, 0);
  const load = {running: 10, waiting: 200, slots: 10};
  loadBalancer.noteEnd('busy', 'succeeded', load, nowMs);
  loadBalancer.noteLeaving('away', true);
  loadBalancer.noteUnreachable('down', nowMs);
  return sender;
}

type Sender = ReturnType<typeof createSender>;

function preview(sender: Sender, organisation: string | null = 'saloum-mills') {
  const result = sender.handler.preview.preview('parts', organisation);
  if (result.kind !== 'preview') {
    throw new Error(`The result is ${result.kind}.`);
  }
  return result;
}

test('each listed server has the reason for which it gets no requests', t => {
  // Guards against a request that goes elsewhere than the operator is told.
  const [{targets}] = preview(createSender()).destinations;
  const exclusions = targets.map(({exclusion, instance}) => [
    instance,
    exclusion,
  ]);
  t.deepEqual(Object.fromEntries(exclusions), {
    free: null,
    alsoFree: null,
    old: 'replaced',
    busy: 'dearer',
    away: 'leaving',
    down: 'connectionDown',
    cold: 'cold',
    drains: 'draining',
    far: 'otherZone',
    evacuated: 'evacuated',
  });
  t.is(targets[0].candidate?.waitMs, 0);
});

test('only requests that may be repeated are shown as trials', t => {
  // Guards against a failing server that is said to get other requests.
  const listed = [server('fails'), server('free'), server('alsoFree')];
  const chosenShare = (idempotent: boolean) => {
    const sender = createSender({}, {idempotent}, listed);
    const nowMs = sender.clock.monotonicMs();
    sender.loadBalancer.notePoorShare('fails', 0.5, nowMs);
    const [{targets}] = preview(sender).destinations;
    const target = targets.find(({instance}) => instance === 'fails');
    return target?.candidate?.chosenShare ?? 0;
  };
  t.true(chosenShare(true) > 0);
  t.is(chosenShare(false), 0);
});

test('a server that loses to the zone rule is excluded for its zone', t => {
  // Guards against a search for costs that would not move any request.
  const far = server('far', {availabilityZone: 'b'});
  const sender = createSender({}, {}, [server('busy'), far]);
  const load = {running: 10, waiting: 190, slots: 10};
  const nowMs = sender.clock.monotonicMs();
  sender.loadBalancer.noteEnd('far', 'succeeded', load, nowMs);
  const [{targets}] = preview(sender).destinations;
  const target = targets.find(({instance}) => instance === 'far');
  t.true((target?.candidate?.sampledShare ?? 0) > 0);
  t.is(target?.exclusion, 'otherZone');
});

test('requests go where the preview says, in these shares', async t => {
  // Guards against a preview that differs from the selection.
  const sender = createSender();
  const [{targets}] = preview(sender).destinations;
  for (let count = 0; count < 100; count++) await sender.request();
  for (const {candidate, instance} of targets) {
    const share = sender.sentTo.filter(name => name === instance).length / 100;
    t.true(Math.abs(share - (candidate?.chosenShare ?? 0)) < 0.2, instance);
  }
});

test('of many servers, some are in no sample, and few are shown', t => {
  const configuration = sampleConfiguration.fleetConfiguration();
  const listed = Array.from({length: 2_000}, (_item, index) =>
    server(`${index}`),
  );
  const sender = previewFixture.createSender(configuration, listed);
  const text = statusServer.previewResponse(
    sender.handler.preview,
    'route=parts&organisation=saloum-mills',
  ).text;
  t.true(text.length < 30_000);
  const [{targets, omittedTargets}] = (
    JSON.parse(text) as requestPreview.PreviewedRequest
  ).destinations;
  t.deepEqual([targets.length, omittedTargets], [50, 1_950]);
});

test('of many destinations, few are shown', t => {
  // Guards against shares whose sum the operator cannot explain.
  const destinations = Array.from({length: 11}, (_item, index) => ({
    service: `service-${index}`,
    weight: 1,
  }));
  const result = preview(createSender({}, {destinations}));
  t.deepEqual([result.destinations.length, result.omittedDestinations], [8, 3]);
});

/** Guards against a wrong answer to the question why a request was refused. */
const ADMISSIONS: Readonly<
  Record<
    string,
    readonly [
      sender: () => Sender,
      expected: Partial<requestPreview.DestinationPreview>,
      refusal?: requestPreview.PreviewedRequest['refusal'],
    ]
  >
> = {
  'without a limit': [createSender, {admittedShare: 1, refusal: null}],
  'within the rate': [
    () => createSender({ratePerSecond: 1_000, burst: 1_000}),
    {admittedShare: 1, refusal: null},
  ],
  'without tokens': [
    () => createSender({ratePerSecond: 0.001, burst: 0.5}),
    {admittedShare: 0, refusal: 'limitExceeded'},
  ],
  'while this process is overloaded': [
    () => {
      const sender = createSender();
      sender.monitor.processPressure = 1;
      return sender;
    },
    {admittedShare: 0, refusal: 'overloaded'},
  ],
  'while a service below is saturated': [
    () => {
      const sender = createSender();
      const {clock, costs} = sender;
      costs.noteCosts('parts', [['parts', 100]]);
      const load = {running: 1, waiting: 0, slots: 10, pressure: 0.3};
      const reported = {...load, slotPressure: 0.3};
      costs.notePressure('parts', reported, clock.monotonicMs());
      return sender;
    },
    {admittedShare: 0.7, refusal: 'overloaded'},
  ],
  'that rarely succeeds': [
    () => {
      const sender = createSender();
      const result = {
        kind: 'answer',
        status: 500,
        headers: [],
        body: new Uint8Array(0),
        refusedBy: 'parts',
      } as const;
      for (let count = 0; count < 100; count++) {
        sender.success.noteEnd({name: 'parts'}, 'regular', result);
      }
      return sender;
    },
    {admittedShare: 0, refusal: 'overloaded'},
  ],
  'in a stop': [
    () => {
      const sender = createSender();
      sender.stop.begin(sender.clock.monotonicMs() - 3_000);
      return sender;
    },
    {admittedShare: 1, refusal: null},
    'targetLeaving',
  ],
  'to a service without servers': [
    () => createSender({}, {destinations: [{service: 'other', weight: 1}]}),
    {admittedShare: 0, refusal: 'noTarget', targets: []},
  ],
};
for (const [name, [create, expected, refusal]] of Object.entries(ADMISSIONS)) {
  test(`preview of a request ${name}`, async t => {
    const sender = create();
    const result = preview(sender);
    const [destination] = result.destinations;
    const {admittedShare = 0, ...others} = expected;
    t.true(Math.abs(destination.admittedShare - admittedShare) < 1e-3);
    t.like(destination, others);
    t.is(result.refusal, refusal ?? null);
    if (expected.admittedShare === 0.7) return;
    const isAdmitted = refusal === undefined && expected.admittedShare === 1;
    t.is((await sender.request())?.status === 200, isAdmitted);
  });
}

test('a request without a key to a route that needs one', t => {
  t.is(preview(createSender(), null).refusal, 'keyMissing');
});

test('a preview without organisations left', t => {
  // Guards against an operator who is told that a request needs no key after
  // the last organisation has been removed (review/7).
  const configuration: routing.FleetConfiguration = {
    ...sampleConfiguration.fleetConfiguration(),
    keyPolicy: {kind: 'required', organisations: []},
  };
  const sender = previewFixture.createSender(configuration, LISTED);
  t.is(preview(sender, null).refusal, 'keyMissing');
  const result = sender.handler.preview.preview('parts', 'saloum-mills');
  t.deepEqual(result, {kind: 'unknown', subject: 'organisation', known: []});
});

test('a preview changes no state and draws no random numbers', async t => {
  // Guards against a command that takes tokens or moves requests elsewhere.
  const destinations = [
    {service: 'parts', weight: 3},
    {service: 'other', weight: 2},
  ];
  const limit = {ratePerSecond: 200, burst: 40};
  const sender = createSender(limit, {destinations});
  const {clock, costs, monitor} = sender;
  costs.noteCosts('parts', [['parts', 100]]);
  for (let count = 0; count < 60; count++) {
    const load = {running: 1, waiting: 0, slots: 10, pressure: 0.3};
    costs.notePressure('parts', load, clock.monotonicMs());
    monitor.processPressure = count % 3 === 0 ? 0.2 : 0;
    await sender.request();
    await clock.advance(3);
  }
  await clock.advance(170);
  const before = describe(sender);
  for (const organisation of ['saloum-mills', null, 'unknown']) {
    for (const route of ['parts', 'unknown']) {
      const query = new URLSearchParams({route});
      if (organisation !== null) query.set('organisation', organisation);
      statusServer.previewResponse(sender.handler.preview, String(query));
    }
  }
  t.is(describe(sender), before);
  await sender.request();
  t.not(describe(sender), before);
});

function describe(sender: Sender): string {
  return util.inspect(sender, {
    depth: Infinity,
    maxArrayLength: Infinity,
    maxStringLength: Infinity,
    breakLength: Infinity,
  });
}

/** Guards against answers that the command takes for something else. */
const QUERIES: ReadonlyArray<readonly [query: string, status: number, RegExp]> =
  [
    ['route=parts&organisation=saloum-mills', 200, /"kind":"preview"/],
    ['route=parts', 200, /"refusal":"keyMissing"/],
    ['route=x', 404, /"subject":"route","known":\["parts"\]/],
    ['route=parts&organisation=x', 404, /"subject":"organisation"/],
    ['organisation=x', 400, /"missingParameter"/],
  ];
test('a daemon previews requests on the address of its metrics', async t => {
  const fixture = await helpers.startFleet(1);
  const [host] = fixture.hosts;
  for (const [query, status, pattern] of QUERIES) {
    const response = await fixture.readStatus(host, `/where?${query}`);
    t.is(response.status, status, query);
    t.regex(response.body, pattern);
  }
  const metrics = await fixture.readStatus(host, '/metrics');
  fixture.close();
  t.is(host.received.length, 0);
  t.notRegex(metrics.body, /route_requests_received_total\{/);
});
