import test from 'ava';
import * as directories from '../backend-server-directory.js';

function server(
  instance: string,
  overrides: Partial<directories.BackendServer> = {},
): directories.BackendServer {
  return {
    instance,
    service: 'parts',
    hostAddress: '10.0.0.1',
    port: 80,
    availabilityZone: 'a',
    slots: 10,
    phase: 'ready',
    coldRemainingMs: 0,
    startedAtMs: null,
    ...overrides,
  };
}

function candidates(directory: directories.BackendServerDirectory): string[] {
  return directory.candidates('parts').map(candidate => candidate.instance);
}

test('a draining server is not a candidate but stays listed', t => {
  const directory = new directories.BackendServerDirectory();
  directory.put(server('one'), 0);
  directory.put(server('one', {phase: 'draining'}), 10);
  directory.put(server('one', {phase: 'draining'}), 20);
  t.deepEqual(candidates(directory), []);
  t.is(directory.drainingSinceMs('one'), 10);
  t.is(directory.firstSeenMs('one'), 0);
});

/**
 * Guards against treating an absence as the end of a server during an outage of
 * the platform, and against using a server that has stopped. host-daemon
 * decides when an absence is final (fleet-state_test.ts).
 */
const ABSENCES: ReadonlyArray<
  readonly [
    string,
    (directory: directories.BackendServerDirectory) => void,
    readonly string[],
  ]
> = [
  ['removed', directory => directory.remove('one'), []],
  ['missing', directory => directory.markMissing('one'), ['one']],
  [
    'missing and removed',
    directory => {
      directory.markMissing('one');
      directory.removeMissing();
    },
    [],
  ],
  [
    'missing and listed again',
    directory => {
      directory.markMissing('one');
      directory.put(server('one'), 200);
      directory.removeMissing();
    },
    ['one'],
  ],
];
for (const [name, change, expected] of ABSENCES) {
  test(`a server that is not in the list: ${name}`, t => {
    const directory = new directories.BackendServerDirectory();
    directory.put(server('one'), 0);
    t.deepEqual(candidates(directory), ['one']);
    change(directory);
    t.deepEqual(candidates(directory), [...expected]);
  });
}

test('an address reused by another service yields no server', t => {
  const directory = new directories.BackendServerDirectory();
  directory.put(server('old'), 0);
  directory.put(server('new', {service: 'billing'}), 10);
  t.is(directory.findByAddress('10.0.0.1', 80, 'billing')?.instance, 'new');
  t.is(directory.findByAddress('10.0.0.1', 80, 'workshop'), null);
});

/** Guards against calls to a process whose address is in use by a newer one. */
const RESTARTS: ReadonlyArray<
  readonly [string, number | null, number | null, readonly string[]]
> = [
  ['by the time of their starts', 2_000, 1_000, ['first']],
  ['by the order of their entries', null, null, ['second']],
  ['one start is unknown', 2_000, null, ['second']],
];
for (const [name, firstAtMs, secondAtMs, expected] of RESTARTS) {
  test(`the newest of two servers with one address: ${name}`, t => {
    const directory = new directories.BackendServerDirectory();
    directory.put(server('first', {startedAtMs: firstAtMs}), 0);
    directory.put(server('second', {startedAtMs: secondAtMs}), 10);
    t.deepEqual(candidates(directory), [...expected]);
    t.is(
      directory.findByAddress('10.0.0.1', 80, 'parts')?.instance,
      expected[0],
    );
  });
}
