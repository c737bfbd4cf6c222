import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import type * as ava from 'ava';
import test from 'ava';
import type * as bufferedExchange from '../buffered-exchange.js';
import * as bufferedFixture from './buffered-exchange-fixture.js';
import * as counter from './request-counter.js';

const EARLIER_ID = '0b7d55a1c83e4f29';

const REFUSAL =
  'HTTP/1.1 503 Service Unavailable\r\n' +
  `${counter.ID_HEADER}: ${EARLIER_ID}\r\n` +
  'X-Not-Run: 1\r\n' +
  'Retry-After: 0.4\r\n' +
  'Content-Length: 4\r\n\r\nfull';

type Write = () => void;

interface Moment {
  readonly moment: (write: Write, send: () => void) => void;
  /** Whether the library reads the bytes before it sends the request. */
  readonly isNoticed: boolean;
}

/**
 * When bytes reach the socket of an idle connection. The library reads idle
 * sockets once more between the call of `send` and its first write.
 */
const MOMENTS: Readonly<Record<string, Moment>> = {
  'before the send': {
    moment: (write, send) => {
      write();
      send();
    },
    isNoticed: true,
  },
  'after the last read of the idle socket': {
    moment: (write, send) => {
      // This callback runs before that of the library, without a read between.
      setImmediate(write);
      send();
    },
    isNoticed: false,
  },
  'after the first write': {
    moment: (write, send) => {
      send();
      setImmediate(write);
    },
    isNoticed: false,
  },
};

function sendRequest(
  client: ReturnType<typeof bufferedFixture.createClient>,
  id: string,
): Promise<bufferedExchange.BufferedExchangeResult> {
  return client.send({
    ...bufferedFixture.REQUEST,
    headers: [[counter.ID_HEADER, id]],
    isExpected: ({headers}) =>
      headers.some(
        ([name, value]) => name === counter.ID_HEADER && value === id,
      ),
  }).result;
}

interface Outcome {
  /** Ids in the response to the request; null if there was none. */
  readonly ids: readonly string[] | null;
  readonly status: number | null;
  /** Ids in the response to the next request. */
  readonly nextIds: readonly string[] | null;
  readonly connections: number;
}

async function play(
  t: ava.ExecutionContext,
  stray: string,
  moment: Moment['moment'],
): Promise<Outcome> {
  const sockets: net.Socket[] = [];
  const server = await counter.startRequestCounter(t, {
    onRequest: ({id, socket}) => {
      sockets.push(socket);
      const respond = () =>
        socket.write(
          `HTTP/1.1 200 OK\r\n${counter.ID_HEADER}: ${id}\r\n` +
            'Content-Length: 6\r\n\r\nbooked',
        );
      // The response must not arrive in the same read as the stray bytes.
      if (id === 'opening') respond();
      else setTimeout(respond, 3);
    },
  });
  const client = bufferedFixture.createClient(t, server.port, {
    maximumConnections: 2,
  });
  await sendRequest(client, 'opening');
  // Without this turn the read of the opening response is still going on.
  await timers.setImmediate();
  const result = await new Promise<bufferedExchange.BufferedExchangeResult>(
    resolve => {
      moment(
        () => sockets[0].write(stray),
        () => void sendRequest(client, 'present').then(resolve),
      );
    },
  );
  const next = await sendRequest(client, 'next');
  client.destroy();
  return {
    ids: idsOf(result),
    status: result.kind === 'answer' ? result.status : null,
    nextIds: idsOf(next),
    connections: server.connections,
  };
}

function idsOf(
  result: bufferedExchange.BufferedExchangeResult,
): string[] | null {
  if (result.kind !== 'answer') return null;
  return result.headers
    .filter(([name]) => name === counter.ID_HEADER)
    .map(([, value]) => value);
}

for (const [name, {moment, isNoticed}] of Object.entries(MOMENTS)) {
  test.serial(
    `bytes of an earlier refusal, of any length, that arrive ${name}`,
    async t => {
      // Guards against a refusal that is taken for the response to a later
      // request, and against a connection on which each request then gets the
      // response to the one before.
      const counts = new Map<string, number>();
      for (let length = 1; length <= REFUSAL.length; length++) {
        const outcome = await play(t, REFUSAL.slice(0, length), moment);
        const {ids, status, nextIds} = outcome;
        if (isNoticed) t.deepEqual(ids, ['present'], `${length} bytes`);
        else if (ids !== null) {
          t.deepEqual(ids, [EARLIER_ID], `${length} bytes`);
        }
        if (ids !== null) t.is(status, ids[0] === EARLIER_ID ? 503 : 200);
        t.deepEqual(nextIds, ['next'], `${length} bytes`);
        t.is(outcome.connections, 2);
        const summary = JSON.stringify(outcome);
        counts.set(summary, (counts.get(summary) ?? 0) + 1);
      }
      for (const [summary, count] of counts) t.log(`${count} of ${summary}`);
    },
  );
}
