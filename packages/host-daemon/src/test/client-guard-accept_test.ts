import type * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import type * as callerConnection from '../caller-connection.js';
import * as clientGuard from '../client-guard.js';
import * as clientLimits from '../client-limits.js';
import * as clientMemory from '../client-memory.js';

function fakeSocket(): net.Socket {
  const socket = {
    destroyed: false,
    destroy: () => void (socket.destroyed = true),
  };
  return socket as unknown as net.Socket;
}

test('connections accepted before the next event do not exceed the limit', t => {
  // Guards against a burst in which each connection replaces the same unused
  // one, whose event `close` has not been emitted yet.
  const connections = new Map<net.Socket, callerConnection.CallerConnection>();
  const guard = new clientGuard.ClientGuard({
    clock: new runtime.ManualClock(),
    logger: runtime.silentLogger,
    metrics: new runtime.Metrics(),
    limits: {...clientLimits.DEFAULT_CLIENT_LIMITS, callerConnections: 2},
    memory: new clientMemory.ClientMemory(1_000_000),
    connections,
  });
  t.teardown(() => guard.stop());
  const sockets: net.Socket[] = [];
  for (let index = 0; index < 10; index++) {
    const socket = fakeSocket();
    sockets.push(socket);
    if (!guard.accept(socket)) continue;
    connections.set(socket, {
      isUnused: true,
    } as callerConnection.CallerConnection);
  }
  t.is(connections.size, 2);
  t.is(sockets.filter(({destroyed}) => !destroyed).length, 2);
});

interface Occupant {
  readonly isUnused: boolean;
  readonly idleChecks: number;
}

const inUse: Occupant = {isUnused: false, idleChecks: 0};
const idleFor = (idleChecks: number): Occupant => ({
  isUnused: false,
  idleChecks,
});

const REPLACEMENTS: ReadonlyArray<{
  readonly name: string;
  readonly occupants: readonly Occupant[];
  /** Index of the connection that closes, or null if the new one does. */
  readonly replaced: number | null;
}> = [
  {
    name: 'one without a request before an idle one',
    occupants: [idleFor(100), {isUnused: true, idleChecks: 0}],
    replaced: 1,
  },
  {
    name: 'the one that has been idle for longest',
    occupants: [idleFor(10), inUse, idleFor(12), idleFor(11)],
    replaced: 2,
  },
  {
    name: 'none that has been idle for less than a second',
    occupants: [idleFor(3), idleFor(3)],
    replaced: null,
  },
  {
    name: 'none that is in use',
    occupants: [inUse, inUse],
    replaced: null,
  },
];

for (const {name, occupants, replaced} of REPLACEMENTS) {
  test(`at the limit a new connection replaces ${name}`, t => {
    // Guards against clients that keep others out with idle connections.
    const connections = new Map<
      net.Socket,
      callerConnection.CallerConnection
    >();
    const guard = new clientGuard.ClientGuard({
      clock: new runtime.ManualClock(),
      logger: runtime.silentLogger,
      metrics: new runtime.Metrics(),
      limits: {
        ...clientLimits.DEFAULT_CLIENT_LIMITS,
        callerConnections: occupants.length,
      },
      memory: new clientMemory.ClientMemory(1_000_000),
      connections,
    });
    t.teardown(() => guard.stop());
    const sockets = occupants.map(occupant => {
      const socket = fakeSocket();
      const connection =
        occupant as unknown as callerConnection.CallerConnection;
      connections.set(socket, connection);
      return socket;
    });
    t.is(guard.accept(fakeSocket()), replaced !== null);
    const closed = sockets.findIndex(({destroyed}) => destroyed);
    t.is(closed, replaced ?? -1);
  });
}

test('a client that reads slowly has five minutes by default', t => {
  // Guards against closing clients whose reading is seen in steps of the
  // kernel's send buffer only: 2.5 MB at 10 KB/s take 250 s.
  t.is(clientLimits.DEFAULT_CLIENT_LIMITS.unreadMs, 300_000);
});
