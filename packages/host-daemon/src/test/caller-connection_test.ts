import * as events from 'node:events';
import type * as http from 'node:http';
import type * as net from 'node:net';
import test from 'ava';
import * as attemptOutcome from '../attempt-outcome.js';
import * as callerConnection from '../caller-connection.js';
import * as clientMemory from '../client-memory.js';

const MEGABYTE = 1_000_000;

/** Of this memory responses may hold 40 MB. */
const MEMORY_BYTES = 333_333_334;

class FakeSocket extends events.EventEmitter {
  bytesWritten = 0;
  writableLength = 0;
  isPaused = false;

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
  }

  destroySoon(): void {
    this.emit('close');
  }
}

interface Fixture {
  readonly socket: FakeSocket;
  readonly connection: callerConnection.CallerConnection;
  add(): callerConnection.Exchange;
  finish(exchange: callerConnection.Exchange): void;
}

function open(memory: clientMemory.ClientMemory): Fixture {
  const socket = new FakeSocket();
  const connection = new callerConnection.CallerConnection(
    socket as unknown as net.Socket,
    memory,
  );
  return {
    socket,
    connection,
    add: () => {
      const exchange = connection.add(
        {complete: true} as http.IncomingMessage,
        new events.EventEmitter() as unknown as http.ServerResponse,
        clientMemory.REQUEST_BYTES,
      );
      if (!exchange) throw new Error('The request is not processed.');
      return exchange;
    },
    finish: ({response}) => void response.emit('finish'),
  };
}

test('a connection is read again when the full account has let it wait', t => {
  // Guards against closing clients within the documented limits: 300 clients
  // with 12 pipelined requests each exceed a tenth of 250 MB.
  const memory = new clientMemory.ClientMemory(250 * MEGABYTE);
  const fixtures = Array.from({length: 300}, () => open(memory));
  const requests = fixtures.map(({connection, add}) =>
    Array.from({length: 12}, () => {
      t.true(connection.mayParse(128));
      return add();
    }),
  );
  t.true(memory.isFullOfRequests);
  t.true(fixtures.at(-1)?.socket.isPaused);
  for (const [index, {finish}] of fixtures.entries()) {
    for (const exchange of requests[index]) finish(exchange);
  }
  t.false(fixtures.some(({connection}) => connection.closing));
  t.false(fixtures.some(({socket}) => socket.isPaused));
  t.false(memory.isFullOfRequests);
});

for (const {name, megabytes, expected} of [
  {name: 'is full', megabytes: 10, expected: 32},
  {name: 'is full twice', megabytes: 20, expected: 1},
]) {
  test(`parsing ends at ${expected} requests when the account ${name}`, t => {
    // Guards against parsed requests without bound.
    const memory = new clientMemory.ClientMemory(100 * MEGABYTE);
    memory.addRequest(megabytes * MEGABYTE);
    const {connection, add} = open(memory);
    let count = 0;
    while (connection.mayParse(128)) {
      add();
      count++;
    }
    t.is(count, expected);
    t.true(connection.closing);
  });
}

test('pipelined responses that fill the memory do not block the first ones', async t => {
  // Guards against a deadlock: the fast responses of two connections fill the
  // memory and wait for the slow first ones, which wait for memory.
  const memory = new clientMemory.ClientMemory(MEMORY_BYTES);
  const {responses} = memory;
  const fixtures = [open(memory), open(memory)];
  const sent: string[] = [];
  const rows = fixtures.map(({add}) => Array.from({length: 8}, () => add()));
  for (const [index, {connection}] of fixtures.entries()) {
    for (const exchange of rows[index].slice(1)) {
      connection.holdResponse(exchange, 4 * MEGABYTE);
    }
  }
  t.is(responses.limitBytes, 40 * MEGABYTE);
  t.true(responses.isFull);
  const receive = (name: string, row: number, position: number) =>
    void attemptOutcome
      .admit(responses, 4 * MEGABYTE, rows[row][position], () => undefined)
      .then(() => {
        responses.release(4 * MEGABYTE);
        fixtures[row].connection.holdResponse(
          rows[row][position],
          4 * MEGABYTE,
        );
        sent.push(name);
      });
  receive('first 0', 0, 0);
  receive('first 1', 1, 0);
  await untilNextIteration();
  t.deepEqual(sent, ['first 0', 'first 1']);
  for (const [index, {finish}] of fixtures.entries()) {
    for (const exchange of rows[index]) finish(exchange);
  }
  t.is(responses.bytes, 0);
});

test('a response that becomes the next one no longer waits in order', async t => {
  // Guards against the same deadlock when the earlier response ends while the
  // next one waits for memory that responses behind it hold.
  const memory = new clientMemory.ClientMemory(MEMORY_BYTES);
  const {connection, add, finish} = open(memory);
  const row = Array.from({length: 8}, () => add());
  for (const exchange of row.slice(2)) {
    connection.holdResponse(exchange, 7 * MEGABYTE);
  }
  let isAdmitted = false;
  memory.responses.admit(4 * MEGABYTE, () => undefined);
  memory.responses.admit(4 * MEGABYTE, () => (isAdmitted = true), row[1]);
  await untilNextIteration();
  t.false(isAdmitted);
  finish(row[0]);
  await untilNextIteration();
  t.true(isAdmitted);
});

test('requests behind others do not start while the memory is full', t => {
  // Guards against responses that fill the memory before they can be sent.
  const memory = new clientMemory.ClientMemory(MEMORY_BYTES);
  memory.responses.add(40 * MEGABYTE);
  const {connection, add} = open(memory);
  const [first, second] = [add(), add()];
  t.is(connection.untilStartable(first), null);
  t.not(connection.untilStartable(second), null);
});

for (const {name, step, expected} of [
  {name: 'nothing', step: 0, expected: 8},
  {name: '1 KiB', step: 1_024, expected: 8},
  {name: '64 KiB', step: 65_536, expected: 0},
]) {
  test(`a client that takes ${name} between checks`, t => {
    // Guards against clients that keep the memory by reading a few bytes, and
    // against closing those that read at a moderate rate.
    const memory = new clientMemory.ClientMemory(MEMORY_BYTES);
    const {connection, socket} = open(memory);
    socket.writableLength = MEGABYTE;
    socket.bytesWritten = MEGABYTE;
    for (let check = 0; check < 8; check++) {
      socket.writableLength -= step;
      connection.checkProgress();
    }
    t.is(connection.slowChecks, expected);
    socket.writableLength = 0;
    connection.checkProgress();
    t.is(connection.slowChecks, 0);
  });
}

test('a connection that closes after its responses is not held', t => {
  // Guards against resetting connections with running requests in a planned
  // stop, when more of them close than may be held.
  const memory = new clientMemory.ClientMemory(MEMORY_BYTES);
  const {connection, add} = open(memory);
  add();
  connection.closeAfterLast();
  t.false(connection.isHeld);
});

function untilNextIteration(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

for (const [length, expected] of [
  [0, 0],
  [100, 100],
  [1_000_000, 65_536],
  [null, 65_536],
] as const) {
  test(`a body of ${length ?? 'unknown'} bytes counts as ${expected}`, t => {
    // Guards against counting 64 KiB for each short pipelined body.
    t.is(clientMemory.unreadBodyBytes(length), expected);
  });
}
