import test from 'ava';
import type * as publishedState from '../published-state.js';
import * as fixture from './fleet-state-fixture.js';

/** Of a peer that has heard of no other host's contact. */
const NOT_RELAYED = {
  relayedConfigurationAgeMs: Infinity,
  relayedServersAgeMs: Infinity,
};

const {candidates, itemChange, createState, simulateContact} = fixture;

const deletion = (revision: number): publishedState.ItemChange => ({
  key: 'one',
  revision,
  text: null,
});

/** The state of a peer at revision 100. */
const snapshotOf = (
  changes: readonly publishedState.ItemChange[],
): publishedState.StateSnapshot => ({
  configuration: null,
  servers: changes.map(({key, text, revision}) => [key, text, revision]),
  revision: 100,
});

/**
 * Guards against an older update replacing a newer one: a host merges the list
 * of a peer, then its own watch delivers older events (rule DRAIN, issue 16).
 */
const OUTDATED_UPDATES: ReadonlyArray<
  readonly [string, readonly publishedState.ItemChange[]]
> = [
  [
    'after a peer reported that it is draining',
    [itemChange('one', 98, 'draining')],
  ],
  ['after a peer no longer listed it', []],
  ['after a peer reported its later deletion', [deletion(101)]],
];
for (const [name, peerChanges] of OUTDATED_UPDATES) {
  test(`an older event does not restore a server: ${name}`, t => {
    const state = createState();
    simulateContact(state, 0, 5_000);
    state.onServersListed([itemChange('one', 80)], 90, 5_000);
    t.deepEqual(candidates(state), ['one']);
    state.mergeSnapshot(snapshotOf(peerChanges), 6_000);
    state.onServerChanged(itemChange('one', 95), 6_100);
    t.deepEqual(candidates(state), []);
    state.onServersListed([itemChange('one', 95)], 96, 6_200);
    t.deepEqual(candidates(state), []);
  });
}

test('repeated older events do not restart the drain time', t => {
  // Guards against sending work to a draining server after its drain time (rule
  // DRAIN).
  const state = createState();
  simulateContact(state, 0, 5_000);
  state.onServersListed([itemChange('one', 80)], 90, 5_000);
  state.mergeSnapshot(snapshotOf([itemChange('one', 98, 'draining')]), 6_000);
  state.onServerChanged(itemChange('one', 95), 9_000);
  state.onServerChanged(itemChange('one', 98, 'draining'), 9_000);
  t.is(state.directory.drainingSinceMs('one'), 6_000);
});

test('a server that restarts under the same name is used again', t => {
  const state = createState();
  simulateContact(state, 0, 5_000);
  state.onServersListed([itemChange('one', 80)], 90, 5_000);
  state.onServerChanged(itemChange('one', 91, 'draining'), 5_100);
  state.onServerChanged(deletion(92), 5_200);
  state.onServersSynced(92);
  state.onServerChanged(itemChange('one', 93), 5_300);
  t.deepEqual(candidates(state), ['one']);
});

test('a server whose entry becomes invalid is no longer used', t => {
  // Guards against using an entry after another writer has replaced it.
  const state = createState();
  simulateContact(state, 0, 5_000);
  state.onServersListed([itemChange('one', 80)], 90, 5_000);
  state.onServerChanged(
    {key: 'one', revision: 95, text: fixture.INVALID_TEXT},
    5_100,
  );
  t.deepEqual(candidates(state), []);
});

interface RemovalCase {
  /** When the platform stops responding to this host. */
  readonly contactUntilMs: number;
  /** When it responds again. */
  readonly contactFromMs: number;
  /** Whether a peer with uninterrupted platform contact reports it. */
  readonly hasPeer: boolean;
  readonly deletedMs: number;
  /** From this time on, the server must not receive work. */
  readonly removedByMs: number;
  /** A time at which the server must still receive work. */
  readonly lastUsedMs: number | null;
}

/**
 * Guards against removing servers whose entries expired while the platform was
 * unavailable, and against using a removed server for as long as the platform
 * refuses this host (rule DRAIN, issue 16). A host counts as being in contact
 * three seconds after the platform is back.
 */
const REMOVALS: Readonly<Record<string, RemovalCase>> = {
  'continuous contact: removed immediately': {
    contactUntilMs: Infinity,
    contactFromMs: 0,
    hasPeer: false,
    deletedMs: 6_000,
    removedByMs: 6_000,
    lastUsedMs: null,
  },
  // Found with soak seed 13: all connections had gone silent, and hung calls
  // ended late.
  'deletion seen after a gap too short for an entry to expire': {
    contactUntilMs: 5_000,
    contactFromMs: 7_000,
    hasPeer: false,
    deletedMs: 7_000,
    removedByMs: 7_000,
    lastUsedMs: null,
  },
  'deletion seen when the platform becomes available again': {
    contactUntilMs: 5_000,
    contactFromMs: 10_000,
    hasPeer: false,
    deletedMs: 10_000,
    removedByMs: 12_500,
    lastUsedMs: 12_000,
  },
  'deletion seen when this host regains contact, peers had contact': {
    contactUntilMs: 5_000,
    contactFromMs: 10_000,
    hasPeer: true,
    deletedMs: 10_000,
    removedByMs: 10_000,
    lastUsedMs: null,
  },
  'deletion seen at a peer while the platform refuses this host': {
    contactUntilMs: 5_000,
    contactFromMs: 30_000,
    hasPeer: true,
    deletedMs: 10_000,
    removedByMs: 10_000,
    lastUsedMs: null,
  },
};
for (const [name, row] of Object.entries(REMOVALS)) {
  test(`a server that is no longer listed: ${name}`, t => {
    const state = createState();
    state.onServersListed([itemChange('one', 80)], 90, 0);
    const usedAtMs: number[] = [];
    for (let nowMs = 0; nowMs <= 20_000; nowMs += 500) {
      const hasContact =
        nowMs < row.contactUntilMs || nowMs >= row.contactFromMs;
      state.onContact('servers', hasContact, nowMs);
      if (row.hasPeer) {
        const report = {
          configurationAgeMs: 100,
          serversAgeMs: 100,
          serversContactMs: nowMs,
          ...NOT_RELAYED,
        };
        state.recordPeerContact(report, 1, nowMs);
      }
      if (nowMs === row.deletedMs) state.onServerChanged(deletion(95), nowMs);
      if (nowMs >= row.deletedMs && candidates(state).length > 0) {
        usedAtMs.push(nowMs);
      }
    }
    const last = usedAtMs.at(-1) ?? null;
    t.true(last === null || last < row.removedByMs, `used at ${last}`);
    if (row.lastUsedMs !== null) t.true(usedAtMs.includes(row.lastUsedMs));
  });
}

test('a draining server that is no longer listed is removed regardless of contact', t => {
  const state = createState();
  state.onContact('servers', true, 0);
  state.onServersListed([itemChange('one', 80, 'draining')], 90, 0);
  state.onServerChanged(deletion(95), 100);
  t.is(state.directory.get('one'), null);
});

test('servers that register again after an outage are kept', t => {
  const state = createState();
  simulateContact(state, 0, 5_000);
  state.onServersListed([itemChange('one', 80)], 90, 5_000);
  state.onContact('servers', true, 12_000);
  state.onServerChanged(deletion(95), 12_000);
  t.deepEqual(candidates(state), ['one']);
  state.onServerChanged(itemChange('one', 97), 13_500);
  simulateContact(state, 12_500, 20_000);
  t.deepEqual(candidates(state), ['one']);
});

/** Guards against reverting to an older configuration, whatever its source. */
const VERSIONS: ReadonlyArray<readonly [string, readonly number[], number]> = [
  ['in order', [1, 4, 9], 9],
  ['an older one from a peer', [4, 9, 4], 9],
  ['repeated', [4, 4], 4],
];
for (const [name, versions, expected] of VERSIONS) {
  test(`the configuration in force: ${name}`, t => {
    const state = createState();
    for (const version of versions) {
      state.onConfigurationRead(fixture.configurationText(version), 0);
    }
    t.is(state.version, expected);
    const configuration = fixture.configurationText(2);
    state.mergeSnapshot({configuration, servers: [], revision: 0}, 0);
    t.is(state.version, Math.max(expected, 2));
  });
}

interface FreshnessCase {
  readonly ownContactMs: number | null;
  readonly peer: {
    readonly version: number;
    readonly ageMs: number;
    readonly relayedAgeMs?: number;
  } | null;
  readonly isFresh: boolean;
}

/**
 * Guards against permanently refusing a key or a route that a missed change
 * allows (rule CONFIG, issue 16). The state has version 4 at time 10,000 ms.
 */
const FRESHNESS: Readonly<Record<string, FreshnessCase>> = {
  'no contact': {ownContactMs: null, peer: null, isFresh: false},
  'contact a second ago': {ownContactMs: 9_000, peer: null, isFresh: true},
  'contact three seconds ago': {
    ownContactMs: 7_000,
    peer: null,
    isFresh: false,
  },
  'recent contact of a peer with the same version': {
    ownContactMs: 7_000,
    peer: {version: 4, ageMs: 300},
    isFresh: true,
  },
  'recent contact of a peer with an older version': {
    ownContactMs: 7_000,
    peer: {version: 3, ageMs: 300},
    isFresh: false,
  },
  'recent contact of a peer with a newer version': {
    ownContactMs: 7_000,
    peer: {version: 5, ageMs: 300},
    isFresh: false,
  },
  'recent contact that a peer has heard of': {
    ownContactMs: 7_000,
    peer: {version: 4, ageMs: Infinity, relayedAgeMs: 300},
    isFresh: true,
  },
  'contact of a peer three seconds ago': {
    ownContactMs: 7_000,
    peer: {version: 4, ageMs: 3_000},
    isFresh: false,
  },
  'a peer without contact': {
    ownContactMs: null,
    peer: {version: 4, ageMs: Infinity},
    isFresh: false,
  },
};
for (const [name, row] of Object.entries(FRESHNESS)) {
  test(`freshness of the configuration: ${name}`, t => {
    const state = createState();
    state.onConfigurationRead(fixture.configurationText(4), 0);
    if (row.ownContactMs !== null) {
      state.onContact('configuration', true, row.ownContactMs);
    }
    if (row.peer) {
      const report = {
        configurationAgeMs: row.peer.ageMs,
        serversAgeMs: 0,
        serversContactMs: 0,
        ...NOT_RELAYED,
        ...(row.peer.relayedAgeMs === undefined
          ? {}
          : {relayedConfigurationAgeMs: row.peer.relayedAgeMs}),
      };
      state.recordPeerContact(report, row.peer.version, 10_000);
    }
    t.is(state.isConfigurationFresh(10_000), row.isFresh);
    state.handleSuspend();
    t.false(state.isConfigurationFresh(10_000));
  });
}
