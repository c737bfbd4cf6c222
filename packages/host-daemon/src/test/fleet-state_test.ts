import test from 'ava';
import type * as publishedState from '../published-state.js';
import * as fixture from './fleet-state-fixture.js';

const {candidates, change, createState, hear} = fixture;

const deletion = (revision: number): publishedState.ItemChange => ({
  key: 'one',
  revision,
  text: null,
});

/** A peer's state at revision 100. */
const relayed = (
  changes: readonly publishedState.ItemChange[],
): publishedState.RelayedState => ({
  configuration: null,
  servers: changes.map(({key, text, revision}) => [key, text, revision]),
  revision: 100,
});

/**
 * Guards against an older word that replaces a newer one: a host adopts the
 * list of a peer, and then its own watch repeats older events (DRAIN,
 * issue 16).
 */
const OLDER_WORDS: ReadonlyArray<
  readonly [string, readonly publishedState.ItemChange[]]
> = [
  ['after a peer said that it drains', [change('one', 98, 'draining')]],
  ['after a peer no longer listed it', []],
  ['after a peer told of its deletion later', [deletion(101)]],
];
for (const [name, peerChanges] of OLDER_WORDS) {
  test(`an older event does not bring a server back: ${name}`, t => {
    const state = createState();
    hear(state, 0, 5_000);
    state.serversListed([change('one', 80)], 90, 5_000);
    t.deepEqual(candidates(state), ['one']);
    state.adoptRelayed(relayed(peerChanges), 6_000);
    state.serverChanged(change('one', 95), 6_100);
    t.deepEqual(candidates(state), []);
    state.serversListed([change('one', 95)], 96, 6_200);
    t.deepEqual(candidates(state), []);
  });
}

test('the drain time does not begin anew when older events are repeated', t => {
  // Guards against work for a leaving server after its drain time (DRAIN).
  const state = createState();
  hear(state, 0, 5_000);
  state.serversListed([change('one', 80)], 90, 5_000);
  state.adoptRelayed(relayed([change('one', 98, 'draining')]), 6_000);
  state.serverChanged(change('one', 95), 9_000);
  state.serverChanged(change('one', 98, 'draining'), 9_000);
  t.is(state.directory.drainingSince('one'), 6_000);
});

test('a server that starts again under its name is used again', t => {
  const state = createState();
  hear(state, 0, 5_000);
  state.serversListed([change('one', 80)], 90, 5_000);
  state.serverChanged(change('one', 91, 'draining'), 5_100);
  state.serverChanged(deletion(92), 5_200);
  state.serversFollowed(92);
  state.serverChanged(change('one', 93), 5_300);
  t.deepEqual(candidates(state), ['one']);
});

test('an entry that becomes odd names no server any more', t => {
  // Guards against use of what another writer has replaced.
  const state = createState();
  hear(state, 0, 5_000);
  state.serversListed([change('one', 80)], 90, 5_000);
  state.serverChanged(
    {key: 'one', revision: 95, text: fixture.ODD_TEXT},
    5_100,
  );
  t.deepEqual(candidates(state), []);
});

interface Absence {
  /** Answers of the platform to this host end here. */
  readonly heardUntilMs: number;
  /** They begin again here. */
  readonly heardFromMs: number;
  /** A peer that has heard the platform all the time tells of itself. */
  readonly hasPeer: boolean;
  readonly learntMs: number;
  /** The first time at which the server gets no more work. */
  readonly goneByMs: number;
  /** The last time at which it still gets work. */
  readonly usedAtMs: number | null;
}

/**
 * Guards against two faults: taking servers for gone whose entries lapsed
 * while the platform was away, and using one that is gone for as long as this
 * host is refused by the platform (DRAIN, issue 16). A host counts as in touch
 * three seconds after the platform is back.
 */
const ABSENCES: Readonly<Record<string, Absence>> = {
  'in calm: at once': {
    heardUntilMs: Infinity,
    heardFromMs: 0,
    hasPeer: false,
    learntMs: 6_000,
    goneByMs: 6_000,
    usedAtMs: null,
  },
  // Soak seed 13: every connection had gone silent, and hung calls ended late.
  'learnt after a gap in which no entry can lapse': {
    heardUntilMs: 5_000,
    heardFromMs: 7_000,
    hasPeer: false,
    learntMs: 7_000,
    goneByMs: 7_000,
    usedAtMs: null,
  },
  'learnt at the return of the platform': {
    heardUntilMs: 5_000,
    heardFromMs: 10_000,
    hasPeer: false,
    learntMs: 10_000,
    goneByMs: 12_500,
    usedAtMs: 12_000,
  },
  'learnt at the return of this host, peers heard the platform': {
    heardUntilMs: 5_000,
    heardFromMs: 10_000,
    hasPeer: true,
    learntMs: 10_000,
    goneByMs: 10_000,
    usedAtMs: null,
  },
  'learnt from a peer while this host is refused': {
    heardUntilMs: 5_000,
    heardFromMs: 30_000,
    hasPeer: true,
    learntMs: 10_000,
    goneByMs: 10_000,
    usedAtMs: null,
  },
};
for (const [name, one] of Object.entries(ABSENCES)) {
  test(`a server that is no longer listed: ${name}`, t => {
    const state = createState();
    state.serversListed([change('one', 80)], 90, 0);
    const usedAtMs: number[] = [];
    for (let nowMs = 0; nowMs <= 20_000; nowMs += 500) {
      const isHeard = nowMs < one.heardUntilMs || nowMs >= one.heardFromMs;
      state.contact('servers', isHeard, nowMs);
      if (one.hasPeer) {
        const report = {
          configurationAgeMs: 100,
          serversAgeMs: 100,
          serversContactMs: nowMs,
        };
        state.notePeerContact(report, 1, nowMs);
      }
      if (nowMs === one.learntMs) state.serverChanged(deletion(95), nowMs);
      if (nowMs >= one.learntMs && candidates(state).length > 0) {
        usedAtMs.push(nowMs);
      }
    }
    const last = usedAtMs.at(-1) ?? null;
    t.true(last === null || last < one.goneByMs, `used at ${last}`);
    if (one.usedAtMs !== null) t.true(usedAtMs.includes(one.usedAtMs));
  });
}

test('a draining server that is no longer listed has left, whatever was heard', t => {
  const state = createState();
  state.contact('servers', true, 0);
  state.serversListed([change('one', 80, 'draining')], 90, 0);
  state.serverChanged(deletion(95), 100);
  t.is(state.directory.get('one'), null);
});

test('servers that register again after an outage stay', t => {
  const state = createState();
  hear(state, 0, 5_000);
  state.serversListed([change('one', 80)], 90, 5_000);
  state.contact('servers', true, 12_000);
  state.serverChanged(deletion(95), 12_000);
  t.deepEqual(candidates(state), ['one']);
  state.serverChanged(change('one', 97), 13_500);
  hear(state, 12_500, 20_000);
  t.deepEqual(candidates(state), ['one']);
});

/** Guards against a configuration that goes back, whoever tells of it. */
const VERSIONS: ReadonlyArray<readonly [string, readonly number[], number]> = [
  ['in order', [1, 4, 9], 9],
  ['an older one from a peer', [4, 9, 4], 9],
  ['repeated', [4, 4], 4],
];
for (const [name, versions, expected] of VERSIONS) {
  test(`the configuration in force: ${name}`, t => {
    const state = createState();
    for (const version of versions) {
      state.configurationRead(fixture.configurationText(version), 0);
    }
    t.is(state.version, expected);
    const configuration = fixture.configurationText(2);
    state.adoptRelayed({configuration, servers: [], revision: 0}, 0);
    t.is(state.version, Math.max(expected, 2));
  });
}

interface Freshness {
  readonly ownHeardMs: number | null;
  readonly peer: {readonly version: number; readonly ageMs: number} | null;
  readonly isFresh: boolean;
}

/**
 * Guards against a final refusal of a key or a route that a missed change
 * allows (CONFIG, issue 16). The state knows version 4; it is 10,000 ms.
 */
const FRESHNESS: Readonly<Record<string, Freshness>> = {
  'nothing heard': {ownHeardMs: null, peer: null, isFresh: false},
  'heard a second ago': {ownHeardMs: 9_000, peer: null, isFresh: true},
  'heard three seconds ago': {ownHeardMs: 7_000, peer: null, isFresh: false},
  'a peer with the same version heard just now': {
    ownHeardMs: 7_000,
    peer: {version: 4, ageMs: 300},
    isFresh: true,
  },
  'a peer with an older version heard just now': {
    ownHeardMs: 7_000,
    peer: {version: 3, ageMs: 300},
    isFresh: false,
  },
  'a peer heard three seconds ago': {
    ownHeardMs: 7_000,
    peer: {version: 4, ageMs: 3_000},
    isFresh: false,
  },
  'a peer that never heard': {
    ownHeardMs: null,
    peer: {version: 4, ageMs: Infinity},
    isFresh: false,
  },
};
for (const [name, one] of Object.entries(FRESHNESS)) {
  test(`the configuration is known to be recent: ${name}`, t => {
    const state = createState();
    state.configurationRead(fixture.configurationText(4), 0);
    if (one.ownHeardMs !== null) {
      state.contact('configuration', true, one.ownHeardMs);
    }
    if (one.peer) {
      const report = {
        configurationAgeMs: one.peer.ageMs,
        serversAgeMs: 0,
        serversContactMs: 0,
      };
      state.notePeerContact(report, one.peer.version, 10_000);
    }
    t.is(state.isConfigurationFresh(10_000), one.isFresh);
    state.noteStandstill();
    t.false(state.isConfigurationFresh(10_000));
  });
}
