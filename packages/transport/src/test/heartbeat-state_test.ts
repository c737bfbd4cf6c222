import test from 'ava';
import * as heartbeatState from '../heartbeat-state.js';

const LIMIT_MS = 1_300;
const IDLE_INTERVAL_MS = 2_000;

interface Event {
  readonly atMs: number;
  readonly kind: 'heartbeat' | 'busy' | 'idle';
}

interface Case {
  readonly events: readonly Event[];
  /** Time at which the connection is checked. */
  readonly checkMs: number;
  readonly silent: 'input' | null;
  readonly due: boolean;
}

/** Heartbeats of the remote end at its idle interval. */
const idleHeartbeats = (...timesMs: number[]): Event[] =>
  timesMs.map(atMs => ({atMs, kind: 'heartbeat'}));

/**
 * Guards against connections without calls that close although they work, and
 * against calls on a silent connection that wait for longer than before.
 */
const CASES: Readonly<Record<string, Case>> = {
  'idle, at the interval of the remote end': {
    events: idleHeartbeats(2_000, 4_000),
    checkMs: 5_900,
    silent: null,
    due: true,
  },
  'idle, without heartbeats for several intervals': {
    events: idleHeartbeats(2_000, 4_000),
    checkMs: 8_500,
    silent: 'input',
    due: true,
  },
  'a call on a working connection': {
    events: [...idleHeartbeats(2_000, 4_000), {atMs: 5_800, kind: 'busy'}],
    checkMs: 6_300,
    silent: null,
    due: true,
  },
  'a call on a silent connection': {
    events: [...idleHeartbeats(2_000, 4_000), {atMs: 5_800, kind: 'busy'}],
    checkMs: 5_800 + LIMIT_MS,
    silent: 'input',
    due: true,
  },
  'a call that has ended': {
    events: [
      ...idleHeartbeats(2_000, 4_000),
      {atMs: 4_100, kind: 'busy'},
      {atMs: 4_200, kind: 'idle'},
    ],
    checkMs: 5_600,
    silent: null,
    due: true,
  },
  'idle, short after its own heartbeat': {
    events: [],
    checkMs: 500,
    silent: null,
    due: false,
  },
};
for (const [name, row] of Object.entries(CASES)) {
  test(`liveness of a connection: ${name}`, t => {
    const state = new heartbeatState.HeartbeatState(0);
    state.recordHello({}, 0);
    let number = 0;
    for (const {atMs, kind} of row.events) {
      switch (kind) {
        case 'heartbeat':
          state.recordFrame(atMs);
          number++;
          state.receive({kind: 'heartbeat', number, acknowledged: 0}, atMs);
          break;
        case 'busy':
        case 'idle':
          state.recordBusy(kind === 'busy', atMs);
          break;
      }
    }
    t.is(state.silent(row.checkMs, LIMIT_MS), row.silent);
    t.is(state.isDue(row.checkMs, IDLE_INTERVAL_MS), row.due);
  });
}

interface PermissionCase {
  /** Heartbeats of the receiver that reach the sender before the call. */
  readonly heartbeatsMs: readonly number[];
  /** The sender's time between the last heartbeat and the call. */
  readonly elapsedMs: number;
  readonly permissionMs?: number;
  /** The last time, by the receiver's clock, at which the call may start. */
  readonly lastMs: number;
}

/**
 * Guards against a call that starts after its tombstone has expired: a sender
 * whose clock goes on while that of the receiver stands still, or that states
 * too long a permission, may not extend it.
 */
const PERMISSIONS: Readonly<Record<string, PermissionCase>> = {
  'a call at once': {heartbeatsMs: [100], elapsedMs: 0, lastMs: 2_100},
  'a short permission': {
    heartbeatsMs: [100],
    elapsedMs: 0,
    permissionMs: 300,
    lastMs: 400,
  },
  'a permission of more than 2 s': {
    heartbeatsMs: [100],
    elapsedMs: 0,
    permissionMs: 60_000,
    lastMs: 2_100,
  },
  'a call on an idle connection': {
    heartbeatsMs: [100, 2_100],
    elapsedMs: 4_400,
    lastMs: 8_500,
  },
  "a receiver whose clock doesn't count a suspension": {
    heartbeatsMs: [100],
    elapsedMs: 60_000,
    lastMs: 8_100,
  },
};
for (const [name, row] of Object.entries(PERMISSIONS)) {
  test(`permission: ${name}`, t => {
    const receiver = new heartbeatState.HeartbeatState(0);
    const sender = new heartbeatState.HeartbeatState(50_000);
    receiver.recordHello({}, 0);
    sender.recordHello({clockMs: 0}, 50_000);
    for (const atMs of row.heartbeatsMs) {
      const heartbeat = receiver.nextHeartbeat(atMs);
      t.true(sender.receive(heartbeat, 50_000 + atMs));
    }
    const lastHeartbeatMs = Math.max(...row.heartbeatsMs);
    const permission = sender.createPermission(
      50_000 + lastHeartbeatMs + row.elapsedMs,
      row.permissionMs ?? 2_000,
    );
    t.true(receiver.isValid(permission, row.lastMs));
    t.false(receiver.isValid(permission, row.lastMs + 1));
  });
}

/**
 * Guards against a reading that is after the call, after which the target takes
 * an entry that has expired for one that never was, against readings so old
 * that the target can tell nothing, and against their cost in each heartbeat.
 */
test('readings of the clock are rounded down and sent once a second', t => {
  const receiver = new heartbeatState.HeartbeatState(0);
  const readings = [250.9, 500.9, 750.9, 1_000.9, 1_250.9, 3_250.9].map(
    atMs => receiver.nextHeartbeat(atMs).clockMs,
  );
  t.deepEqual(readings, [
    undefined,
    undefined,
    undefined,
    1_000,
    undefined,
    3_250,
  ]);
});

test('a heartbeat without a reading keeps the last one', t => {
  // Guards against calls whose target can tell nothing for want of a reading.
  const state = new heartbeatState.HeartbeatState(0);
  state.recordHello({clockMs: 40}, 0);
  t.true(state.receive({kind: 'heartbeat', number: 1, acknowledged: 0}, 10));
  t.is(state.lastRemoteClockMs, 40);
});
