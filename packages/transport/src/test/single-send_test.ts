import * as timers from 'node:timers/promises';
import type * as net from 'node:net';
import type * as ava from 'ava';
import test from 'ava';
import * as counter from './request-counter.js';
import * as sender from './single-send-fixture.js';

const OK = 'HTTP/1.1 200 OK\r\n';
const COMPLETE = `${OK}Content-Length: 5\r\n\r\nhello`;

/** Longer than a repeated request takes to arrive. */
const SETTLING_MS = 40;

/** Time for written bytes to arrive before a reset discards them. */
const BEFORE_RESET_MS = 4;

type Ending = (socket: net.Socket) => void;

function endAfter(text: string): Ending {
  return socket => {
    socket.write(text);
    setTimeout(() => socket.end(), BEFORE_RESET_MS);
  };
}

function resetAfter(text: string): Ending {
  return socket => {
    if (text !== '') socket.write(text);
    const reset = () => socket.resetAndDestroy();
    if (text === '') reset();
    else setTimeout(reset, BEFORE_RESET_MS);
  };
}

/** Ways in which a server ends a connection after it has read a request. */
const ENDINGS: Readonly<Record<string, Ending>> = {
  'closes before any byte': socket => socket.end(),
  'resets before any byte': resetAfter(''),
  'closes within the head': endAfter(`${OK}Content-Le`),
  'resets within the head': resetAfter(`${OK}Content-Le`),
  'closes after an interim head': endAfter('HTTP/1.1 102 Processing\r\n\r\n'),
  'resets after an interim head': resetAfter('HTTP/1.1 102 Processing\r\n\r\n'),
  'sends an unexpected 100 Continue': endAfter('HTTP/1.1 100 Continue\r\n\r\n'),
  'switches protocols': endAfter(
    'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
  ),
  'closes within the body': endAfter(`${OK}Content-Length: 9\r\n\r\nhello`),
  'resets within the body': resetAfter(`${OK}Content-Length: 9\r\n\r\nhello`),
  'resets within a body with connection: close': resetAfter(
    `${OK}Connection: close\r\nContent-Length: 9\r\n\r\nhello`,
  ),
  'resets within a chunked body': resetAfter(
    `${OK}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`,
  ),
  'closes a body without a length': endAfter(
    `${OK}Connection: close\r\n\r\nhello`,
  ),
  'responds, then closes': socket => socket.end(COMPLETE),
  'responds, then resets': resetAfter(COMPLETE),
  'responds with connection: close': endAfter(
    `${OK}Connection: close\r\nContent-Length: 5\r\n\r\nhello`,
  ),
  'responds with a short keep-alive time': endAfter(
    `${OK}Keep-Alive: timeout=1\r\nContent-Length: 5\r\n\r\nhello`,
  ),
  'responds in HTTP/1.0': endAfter(
    'HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello',
  ),
  'responds twice': endAfter(COMPLETE + COMPLETE),
  'responds with a joined head': endAfter(`${OK}X-Part: ${COMPLETE}`),
  'sends bytes that are not HTTP': endAfter('hello'),
};

/** Ends the exchange of a client at a point in time. */
interface ClientEnding {
  readonly text: string;
  readonly waitUntil: (server: counter.RequestCounter) => Promise<unknown>;
}

const CLIENT_ENDINGS: Readonly<Record<string, ClientEnding>> = {
  'at once': {text: '', waitUntil: () => Promise.resolve()},
  'in the next microtasks': {
    text: '',
    waitUntil: async () => {
      for (let index = 0; index < 5; index++) await Promise.resolve();
    },
  },
  'in the next turn of the event loop': {
    text: '',
    waitUntil: () => timers.setImmediate(),
  },
  'two turns later': {
    text: '',
    waitUntil: () => timers.setImmediate().then(() => timers.setImmediate()),
  },
  'after the request has arrived': {text: '', waitUntil: waitForRequest},
  'within the head': {text: `${OK}Content-Le`, waitUntil: waitForRequest},
  'after an interim head': {
    text: 'HTTP/1.1 102 Processing\r\n\r\n',
    waitUntil: waitForRequest,
  },
  'within the body': {
    text: `${OK}Content-Length: 9\r\n\r\nhello`,
    waitUntil: waitForRequest,
  },
};

/** Turns of the event loop between the send and the end of its connection. */
const RACE_TURNS = [-3, -2, -1, 0, 1, 2, 3, 4];

async function waitForRequest(server: counter.RequestCounter): Promise<void> {
  while ((server.requests.get(sender.REQUEST_ID) ?? 0) === 0) {
    await timers.setTimeout(1);
  }
  await timers.setTimeout(BEFORE_RESET_MS);
}

function checkCounts(
  t: ava.ExecutionContext,
  server: counter.RequestCounter,
  kind: sender.ResultKind,
): void {
  const heads = server.heads.get(sender.REQUEST_ID) ?? 0;
  const requests = server.requests.get(sender.REQUEST_ID) ?? 0;
  t.true(heads <= 1, `${heads} heads read, ${requests} requests, ${kind}`);
  t.true(requests <= heads);
  if (kind === 'notSent') t.is(heads, 0);
}

/** Answers the requests that only open a connection. */
function respondToOthers(
  onRequest: (socket: net.Socket) => void,
): (request: counter.ReceivedRequest) => void {
  return ({id, socket}) => {
    if (id === sender.REQUEST_ID) onRequest(socket);
    else socket.write(COMPLETE);
  };
}

for (const [client, createSender] of Object.entries(sender.SENDERS)) {
  for (const connection of ['new', 'reused'] as const) {
    for (const [body, request] of Object.entries(sender.REQUESTS)) {
      for (const [name, ending] of Object.entries(ENDINGS)) {
        test(`${client} client, ${connection} connection, ${body}: one request when the server ${name}`, async t => {
          // Guards against a request that the library sends again after some
          // ends of a connection, and against a sent one reported as not sent.
          const server = await counter.startRequestCounter(t, {
            onRequest: respondToOthers(ending),
          });
          const exchange = createSender(t, server.port);
          if (connection === 'reused') await exchange.openConnection();
          const kind = await exchange.send(request());
          await timers.setTimeout(SETTLING_MS);
          checkCounts(t, server, kind);
          t.is(server.requests.get(sender.REQUEST_ID), 1);
          t.is(server.connectionNumbers.get(sender.REQUEST_ID), 1);
        });
      }

      for (const [name, ending] of Object.entries(CLIENT_ENDINGS)) {
        for (const action of ['cancel', 'destroy'] as const) {
          test(`${client} client, ${connection} connection, ${body}: at most one request after ${action} ${name}`, async t => {
            // Guards against a request that leaves after it was reported as not
            // sent, or again after its connection was closed.
            const server = await counter.startRequestCounter(t, {
              onRequest: respondToOthers(socket => socket.write(ending.text)),
            });
            const exchange = createSender(t, server.port);
            if (connection === 'reused') await exchange.openConnection();
            const result = exchange.send(request());
            await ending.waitUntil(server);
            exchange[action]();
            const kind = await result;
            await timers.setTimeout(SETTLING_MS);
            checkCounts(t, server, kind);
          });
        }
      }
    }

    for (const [body, request] of Object.entries(sender.UPLOADS)) {
      for (const action of ['cancel', 'destroy'] as const) {
        test(`${client} client, ${connection} connection, ${body}: one head after ${action} during the upload`, async t => {
          // Guards against an upload that is sent again after its connection
          // was closed.
          const server = await counter.startRequestCounter(t, {
            onRequest: ({socket}) => socket.write(COMPLETE),
          });
          const exchange = createSender(t, server.port);
          if (connection === 'reused') await exchange.openConnection();
          const result = exchange.send(request());
          while (!server.heads.has(sender.REQUEST_ID)) {
            await timers.setTimeout(1);
          }
          exchange[action]();
          t.is(await result, 'lost');
          await timers.setTimeout(SETTLING_MS);
          checkCounts(t, server, 'lost');
        });
      }

      for (const [name, ending] of Object.entries(ENDINGS)) {
        test(`${client} client, ${connection} connection, ${body}: one head when the server ${name} during the upload`, async t => {
          // Guards against an upload that is sent again when the server ends
          // the connection before it has read the body.
          const server = await counter.startRequestCounter(t, {
            onHead: respondToOthers(ending),
            onRequest: ({id, socket}) => {
              if (id !== sender.REQUEST_ID) socket.write(COMPLETE);
            },
          });
          const exchange = createSender(t, server.port);
          if (connection === 'reused') await exchange.openConnection();
          const kind = await exchange.send(request());
          await timers.setTimeout(SETTLING_MS);
          checkCounts(t, server, kind);
          t.is(server.heads.get(sender.REQUEST_ID), 1);
          t.is(server.connectionNumbers.get(sender.REQUEST_ID), 1);
        });
      }
    }
  }

  for (const action of ['closes', 'resets'] as const) {
    for (const turns of RACE_TURNS) {
      const order =
        turns < 0 ? `${-turns} turns before` : `${turns} turns after`;
      test.serial(
        `${client} client: at most one request when the server ${action} an idle connection ${order} the send`,
        async t => {
          // Guards against a request that is repeated because its connection was
          // closed while it was sent.
          const sockets: net.Socket[] = [];
          const server = await counter.startRequestCounter(t, {
            onRequest: ({socket}) => {
              sockets.push(socket);
              socket.write(COMPLETE);
            },
          });
          const exchange = createSender(t, server.port);
          await exchange.openConnection();
          const [idle] = sockets;
          const end = () => {
            if (action === 'closes') idle.end();
            else idle.resetAndDestroy();
          };
          if (turns < 0) end();
          for (let turn = turns; turn < 0; turn++) await timers.setImmediate();
          const result = exchange.send(sender.REQUESTS['a GET request']());
          for (let turn = 0; turn < turns; turn++) await timers.setImmediate();
          if (turns >= 0) end();
          const kind = await result;
          await timers.setTimeout(SETTLING_MS);
          checkCounts(t, server, kind);
          t.log(`${kind}, ${server.connections} connections`);
        },
      );
    }
  }

  test(`${client} client: one request when the keep-alive time of a connection ends`, async t => {
    // Guards against a request that is repeated because the library closed its
    // idle connection while the request was started.
    const kinds = await Promise.all(
      Array.from({length: 60}, async (_, index) => {
        const server = await counter.startRequestCounter(t, {
          onRequest: ({socket}) =>
            // The library closes the connection 2 s before this time ends.
            socket.write(
              `${OK}Keep-Alive: timeout=3\r\nContent-Length: 5\r\n\r\nhello`,
            ),
        });
        const exchange = createSender(t, server.port);
        await exchange.openConnection();
        await timers.setTimeout(985 + index * 0.5);
        const kind = await exchange.send(sender.REQUESTS['a GET request']());
        await timers.setTimeout(SETTLING_MS);
        checkCounts(t, server, kind);
        t.is(server.requests.get(sender.REQUEST_ID), 1);
        return kind;
      }),
    );
    t.log(summarize(kinds));
  });
}

function summarize(kinds: readonly sender.ResultKind[]): string {
  return ['answer', 'lost', 'notSent']
    .map(kind => `${kind}: ${kinds.filter(other => other === kind).length}`)
    .join(', ');
}
