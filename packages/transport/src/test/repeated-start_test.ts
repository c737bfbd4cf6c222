import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import type * as undici from 'undici';
import * as backendExchange from '../backend-exchange.js';
import * as bodyMemory from '../body-memory.js';
import * as bufferedExchangeHandler from '../buffered-exchange-handler.js';
import * as serverConnection from '../server-connection.js';
import * as http from './http-fixture.js';
import * as fixture from './peer-fixture.js';

type Handler = Required<undici.Dispatcher.DispatchHandler>;

/** Records whether the library was told not to send the request. */
class FakeController implements undici.Dispatcher.DispatchController {
  aborted = false;
  readonly reason = null;
  readonly paused = false;
  readonly rawHeaders = ['content-length', '5'].map(text => Buffer.from(text));
  readonly rawTrailers = [];

  abort(): void {
    this.aborted = true;
  }

  pause(): void {}

  resume(): void {}
}

type Step = (handler: Handler, controller: FakeController) => void;

const readHead: Step = (handler, controller) =>
  handler.onResponseStart(controller, 200, {}, 'OK');

const readBody: Step = (handler, controller) =>
  handler.onResponseData(controller, Buffer.from('hello'));

interface State {
  readonly steps: readonly Step[];
  /** Kind of the result. */
  readonly kind: backendExchange.BackendResult['kind'];
}

/** What has happened to a request before the library starts it again. */
const STATES: Readonly<Record<string, State>> = {
  'before any byte': {steps: [], kind: 'lost'},
  'after an interim head': {
    steps: [
      (handler, controller) =>
        handler.onResponseStart(controller, 102, {}, 'Processing'),
    ],
    kind: 'lost',
  },
  'after the head': {steps: [readHead], kind: 'lost'},
  'within the body': {steps: [readHead, readBody], kind: 'lost'},
  'after the response': {
    steps: [
      readHead,
      readBody,
      (handler, controller) => handler.onResponseEnd(controller, {}),
    ],
    kind: 'answer',
  },
  'after an error': {
    steps: [
      (handler, controller) =>
        handler.onResponseError(controller, new Error('closed')),
    ],
    kind: 'lost',
  },
};

for (const [name, {steps, kind}] of Object.entries(STATES)) {
  test(`the buffered client does not send again ${name}`, async t => {
    // Guards against a request that the library repeats on a new connection.
    const connection = new serverConnection.ServerConnection(
      'http://127.0.0.1:1',
      () => 0,
    );
    t.teardown(() => connection.close());
    const exchange = new bufferedExchangeHandler.BufferedExchangeHandler(
      connection,
      () => undefined,
      new bodyMemory.BodyMemory(),
    );
    t.true(isStoppedAgain(exchange as unknown as Handler, steps));
    t.is((await exchange.result).kind, kind);
  });

  test(`the streaming client does not send again ${name}`, async t => {
    // Guards against a request that the library repeats on a new connection.
    let isStopped = false;
    const dispatcher = {
      dispatch: (_options: unknown, handler: Handler) => {
        isStopped = isStoppedAgain(handler, steps);
        return true;
      },
    } as unknown as undici.Dispatcher;
    const result = await backendExchange.exchange(
      dispatcher,
      http.backendRequest(),
      new runtime.SystemClock(),
    );
    t.true(isStopped);
    const outcome = await outcomeOf(result);
    t.is(outcome, kind);
  });
}

test('a request that failed before its start is not sent', async t => {
  // Guards against a request that was reported as not sent and leaves later.
  const connection = new serverConnection.ServerConnection(
    'http://127.0.0.1:1',
    () => 0,
  );
  t.teardown(() => connection.close());
  const exchange = new bufferedExchangeHandler.BufferedExchangeHandler(
    connection,
    () => undefined,
    new bodyMemory.BodyMemory(),
  );
  exchange.cancel();
  const controller = new FakeController();
  exchange.onRequestStart(controller);
  t.true(controller.aborted);
  t.is((await exchange.result).kind, 'notSent');
});

/** Starts a request, runs `steps` and starts it again. */
function isStoppedAgain(handler: Handler, steps: readonly Step[]): boolean {
  const first = new FakeController();
  handler.onRequestStart(first, {});
  for (const step of steps) step(handler, first);
  const second = new FakeController();
  handler.onRequestStart(second, {});
  return second.aborted;
}

/** A response whose body fails is lost too. */
async function outcomeOf(
  result: backendExchange.BackendResult,
): Promise<backendExchange.BackendResult['kind']> {
  if (result.kind !== 'answer') return result.kind;
  try {
    await fixture.readAll(result.body);
    return 'answer';
  } catch {
    return 'lost';
  }
}
