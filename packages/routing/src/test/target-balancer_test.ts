import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import type * as directories from '../backend-server-directory.js';
import * as targetBalancer from '../target-balancer.js';

const NEVER_COLD = () => -Infinity;

/** Returns a server; its host address ends in the length of its instance. */
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

function createBalancer(): targetBalancer.TargetBalancer {
  return new targetBalancer.TargetBalancer(
    '10.0.0.9',
    'a',
    new runtime.SeededRandom(1),
  );
}

type Setup = (targets: targetBalancer.TargetBalancer) => void;

const load = (running: number) => ({running, waiting: 0, slots: 10});

/** Each case is named after the load pattern and the expected choice. */
const CHOICES: ReadonlyArray<readonly [string, Setup, string | null]> = [
  [
    'idle targets: the one in the same availability zone',
    () => undefined,
    'near',
  ],
  [
    'the near target is busy: the far one',
    targets => {
      targets.noteStart('near');
      targets.noteEnd('near', 'succeeded', load(9), 0);
    },
    'far',
  ],
  [
    'the daemon of the near target is saturated: the far one',
    targets => {
      targets.noteStart('near');
      targets.noteEnd('near', 'succeeded', {...load(0), busyShare: 1}, 0);
    },
    'far',
  ],
  [
    'the daemon of the near target is half utilised: the near one',
    targets => {
      targets.noteStart('near');
      targets.noteEnd('near', 'succeeded', {...load(0), busyShare: 0.5}, 0);
    },
    'near',
  ],
  [
    'the near target fails repeatedly: the far one',
    targets => {
      for (let call = 0; call < 10; call++) {
        targets.noteStart('near');
        targets.noteEnd('near', 'failed', load(0), 0);
      }
    },
    'far',
  ],
  [
    'the near target loses one call in ten: the far one',
    targets => {
      for (let call = 1; call <= 40; call++) {
        const outcome = call % 10 === 5 ? 'failed' : 'succeeded';
        targets.noteStart('near');
        targets.noteEnd('near', outcome, load(0), call * 50 - 2_000);
      }
    },
    'far',
  ],
  [
    'the near target has failed once: still the near one',
    targets => {
      for (let call = 1; call <= 40; call++) {
        const outcome = call === 39 ? 'failed' : 'succeeded';
        targets.noteStart('near');
        targets.noteEnd('near', outcome, load(0), call * 50 - 2_000);
      }
    },
    'near',
  ],
  [
    'the near host cannot be reached: the far one',
    targets => targets.noteUnreachable('near', 0),
    'far',
  ],
  [
    'the near target is leaving: the far one',
    targets => targets.noteLeaving('near', true),
    'far',
  ],
  [
    'no host can be reached: an attempt nevertheless',
    targets => {
      targets.noteUnreachable('near', 0);
      targets.noteUnreachable('far', 0);
    },
    'near',
  ],
  [
    'all targets are leaving: none',
    targets => {
      targets.noteLeaving('near', true);
      targets.noteLeaving('far', true);
    },
    null,
  ],
];
for (const [name, setUp, expected] of CHOICES) {
  test(`choice with ${name}`, t => {
    const targets = createBalancer();
    setUp(targets);
    const chosen = targets.choose(
      [server('near'), server('far', 'b')],
      new Set(),
      NEVER_COLD,
      1,
    );
    t.is(chosen?.instance ?? null, expected);
  });
}

test('failures decay, so that a recovered target is used again', t => {
  const targets = createBalancer();
  for (let call = 0; call < 10; call++) {
    targets.noteStart('near');
    targets.noteEnd('near', 'failed', undefined, 0);
  }
  const candidates = [server('near'), server('far', 'b')];
  const choose = (nowMs: number) =>
    targets.choose(candidates, new Set(), NEVER_COLD, nowMs)?.instance;
  t.is(choose(1), 'far');
  t.is(choose(10_000), 'near');
});

test('calls sent since the last report count as load', t => {
  const targets = createBalancer();
  targets.noteStart('near');
  targets.noteEnd('near', 'succeeded', load(0), 0);
  for (let call = 0; call < 5; call++) targets.noteStart('near');
  t.is(targets.loadShare(server('near'), 1), 0.5);
});

const OWN_HOST: ReadonlyArray<readonly [string, number, string]> = [
  ['no load: the one on this host, which saves a hop', 0, 'own-host.'],
  ['this host is busy: the one on another host', 4, 'near'],
];
for (const [name, running, expected] of OWN_HOST) {
  test(`of two targets in the zone, ${name}`, t => {
    // Guards against unnecessary calls over the network, and against a host
    // whose clients all use its own backend server.
    const targets = createBalancer();
    // An instance of nine characters has the address of this host.
    const own = server('own-host.');
    targets.noteStart(own.instance);
    targets.noteEnd(own.instance, 'succeeded', load(running), 0);
    const chosen = targets.choose(
      [server('near'), own],
      new Set(),
      NEVER_COLD,
      1,
    );
    t.is(chosen?.instance, expected);
  });
}
