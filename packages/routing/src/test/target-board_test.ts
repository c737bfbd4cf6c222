import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import type * as directories from '../backend-server-directory.js';
import * as targetBoard from '../target-board.js';

const NEVER_COLD = () => -Infinity;

function server(
  instance: string,
  availabilityZone = 'a',
): directories.BackendServer {
  return {
    instance,
    service: 'parts',
    hostAddress: `10.0.0.${instance.length}`,
    port: 80,
    availabilityZone,
    slots: 10,
    phase: 'ready',
    coldRemainingMs: 0,
    startedAtMs: null,
  };
}

function board(): targetBoard.TargetBoard {
  return new targetBoard.TargetBoard(
    '10.0.0.9',
    'a',
    new runtime.SeededRandom(1),
  );
}

type Prepare = (board: targetBoard.TargetBoard) => void;

const load = (running: number) => ({running, waiting: 0, slots: 10});

/** Each case names the load pattern that the choice answers. */
const CHOICES: ReadonlyArray<readonly [string, Prepare, string | null]> = [
  ['idle targets: the own availability zone', () => undefined, 'near'],
  [
    'the near target is busy: the far one',
    seen => {
      seen.noteStart('near');
      seen.noteEnd('near', 'succeeded', load(9), 0);
    },
    'far',
  ],
  [
    'the daemon of the near target is always at work: the far one',
    seen => {
      seen.noteStart('near');
      seen.noteEnd('near', 'succeeded', {...load(0), busyShare: 1}, 0);
    },
    'far',
  ],
  [
    'the daemon of the near target is half the time at work: the near one',
    seen => {
      seen.noteStart('near');
      seen.noteEnd('near', 'succeeded', {...load(0), busyShare: 0.5}, 0);
    },
    'near',
  ],
  [
    'the near target fails part of its calls: the far one',
    seen => {
      for (let call = 0; call < 10; call++) {
        seen.noteStart('near');
        seen.noteEnd('near', 'failed', load(0), 0);
      }
    },
    'far',
  ],
  [
    'the near target loses one call in ten: the far one',
    seen => {
      for (let call = 1; call <= 40; call++) {
        const outcome = call % 10 === 5 ? 'failed' : 'succeeded';
        seen.noteStart('near');
        seen.noteEnd('near', outcome, load(0), call * 50 - 2_000);
      }
    },
    'far',
  ],
  [
    'the near target has failed once: still the near one',
    seen => {
      for (let call = 1; call <= 40; call++) {
        const outcome = call === 39 ? 'failed' : 'succeeded';
        seen.noteStart('near');
        seen.noteEnd('near', outcome, load(0), call * 50 - 2_000);
      }
    },
    'near',
  ],
  [
    'the near host cannot be reached: the far one',
    seen => seen.noteUnreachable('near', 0),
    'far',
  ],
  [
    'the near target leaves: the far one',
    seen => seen.noteLeaving('near', true),
    'far',
  ],
  [
    'no host can be reached: an attempt all the same',
    seen => {
      seen.noteUnreachable('near', 0);
      seen.noteUnreachable('far', 0);
    },
    'near',
  ],
  [
    'all targets leave: none',
    seen => {
      seen.noteLeaving('near', true);
      seen.noteLeaving('far', true);
    },
    null,
  ],
];
for (const [name, prepare, expected] of CHOICES) {
  test(`choice with ${name}`, t => {
    const seen = board();
    prepare(seen);
    const chosen = seen.choose(
      [server('near'), server('far', 'b')],
      new Set(),
      NEVER_COLD,
      1,
    );
    t.is(chosen?.instance ?? null, expected);
  });
}

test('failures are forgotten, so that a healed target is used again', t => {
  const seen = board();
  for (let call = 0; call < 10; call++) {
    seen.noteStart('near');
    seen.noteEnd('near', 'failed', undefined, 0);
  }
  const candidates = [server('near'), server('far', 'b')];
  const choose = (nowMs: number) =>
    seen.choose(candidates, new Set(), NEVER_COLD, nowMs)?.instance;
  t.is(choose(1), 'far');
  t.is(choose(10_000), 'near');
});

test('own calls count before the target has reported them', t => {
  const seen = board();
  seen.noteStart('near');
  seen.noteEnd('near', 'succeeded', load(0), 0);
  for (let call = 0; call < 5; call++) seen.noteStart('near');
  t.is(seen.loadShare(server('near'), 1), 0.5);
});

const OWN_HOST: ReadonlyArray<readonly [string, number, string]> = [
  ['no load: the own host, which saves a hop', 0, 'own-host.'],
  ['the own host is busy: another one of the zone', 4, 'near'],
];
for (const [pattern, running, expected] of OWN_HOST) {
  test(`of two targets in the zone, ${pattern}`, t => {
    // Guards against calls that cross the network without need, and against
    // a host whose clients all stay with its own backend server.
    const seen = board();
    const own = server('own-host.');
    seen.noteStart(own.instance);
    seen.noteEnd(own.instance, 'succeeded', load(running), 0);
    const chosen = seen.choose([server('near'), own], new Set(), NEVER_COLD, 1);
    t.is(chosen?.instance, expected);
  });
}
