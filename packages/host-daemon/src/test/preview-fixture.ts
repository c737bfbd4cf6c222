import * as admission from '@camphorwharf/admission';
import * as fleetLimits from '@camphorwharf/fleet-limits';
import * as routing from '@camphorwharf/routing';
import * as runtime from '@camphorwharf/runtime';
import * as attemptOutcome from '../attempt-outcome.js';
import * as requestCosts from '../request-costs.js';
import * as requestForwarder from '../request-forwarder.js';
import * as requestHandler from '../request-handler.js';
import * as requestLogger from '../request-logger.js';
import * as requestSuccess from '../request-success.js';
import * as stopSchedule from '../stop-schedule.js';
import * as workScheduler from '../work-scheduler.js';
import * as fixtures from './fleet-fixture.js';
import * as stateFixture from './fleet-state-fixture.js';

const OWN_ADDRESS = '10.0.0.9';
const OWN_ZONE = 'a';

/**
 * What decides about the requests that enter at one daemon, as in a daemon, but
 * for the time and for targets, which answer at once.
 */
export function createSender(
  configuration: routing.FleetConfiguration,
  listed: readonly routing.BackendServer[],
) {
  const clock = new runtime.ManualClock(10_000);
  const random = new runtime.SeededRandom(1);
  const metrics = new runtime.Metrics();
  const state = stateFixture.createState();
  const nowMs = clock.monotonicMs();
  state.onConfigurationRead(JSON.stringify(configuration), nowMs, 0);
  const items = listed.map(server => ({
    key: server.instance,
    revision: 1,
    text: JSON.stringify(server),
  }));
  state.onServersListed(items, 1, nowMs, 0);
  const members = new fleetLimits.FleetMembers(OWN_ADDRESS);
  const limits = new fleetLimits.FleetRateLimits(members, nowMs, random);
  limits.configure(routing.organisationsOf(configuration), nowMs);
  const loadBalancer = new routing.TargetBalancer(
    OWN_ADDRESS,
    OWN_ZONE,
    random,
    new routing.ColdCapacity({
      random,
      senderCount: () => members.count,
      perSecond: service =>
        state.index?.service(service)?.coldStart?.perSecond ?? null,
    }),
  );
  const monitor = {processPressure: 0, isLagging: false};
  const stop = new stopSchedule.StopSchedule(6_000);
  const index = () => state.index;
  const costs = new requestCosts.RequestCosts({
    metrics,
    random,
    clock,
    ownService: 'shop',
    index,
  });
  const success = new requestSuccess.RequestSuccess({
    clock,
    metrics,
    minimumSuccess: 0.1,
    index,
  });
  const common = {
    clock,
    metrics,
    random,
    requestLog: new requestLogger.RequestLogger(
      runtime.silentLogger,
      metrics,
      clock,
    ),
    scheduler: new workScheduler.WorkScheduler({
      clock,
      metrics,
      isLagging: () => false,
    }),
    state,
    entryPressure: new admission.PressureTable(),
    costs,
    success,
    stopSchedule: stop,
  };
  const sentTo: string[] = [];
  const outcome: attemptOutcome.AttemptOutcome = {
    result: {kind: 'answer', status: 200, headers: [], body: new Uint8Array(0)},
    load: {running: 1, waiting: 0, slots: 10},
    unreachable: false,
    concludedBy: 'backendServer',
  };
  const forwarder = new requestForwarder.RequestForwarder({
    ...common,
    loadBalancer,
    client: {
      send: (_request: object, {instance}: routing.BackendServer) => {
        sentTo.push(instance);
        return Promise.resolve(outcome);
      },
    } as never,
    downstream: new admission.DownstreamPressure(),
    retryBudget: {ratio: 0.2, slack: 48, windowMs: 10_000},
    hostCount: () => 2,
  });
  const handler = new requestHandler.RequestHandler({
    ...common,
    binding: fixtures.BINDING,
    limits,
    monitor,
    forwarder,
  });
  const request = () =>
    handler.handle({
      method: 'GET',
      path: '/parts/7',
      rawHeaders: [],
      headers: {
        'host': 'shop.example',
        'authorization': 'Key key-1',
        'x-request': 'request-1',
        'x-remaining': '3000',
      },
      isFirstOnConnection: false,
      arrivedMs: clock.monotonicMs(),
      signal: new runtime.CancelSource(),
      untilEarlierAnswered: () => Promise.resolve(),
      readBody: () => Promise.resolve({kind: 'body', body: null}),
    });
  return {
    clock,
    costs,
    handler,
    limits,
    loadBalancer,
    monitor,
    random,
    request,
    sentTo,
    state,
    stop,
    success,
  };
}
