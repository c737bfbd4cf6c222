import test from 'ava';
import * as fastCheck from 'fast-check';
import type * as publishedState from '../published-state.js';
import * as versionedItems from '../versioned-items.js';

/** A write to the store: sets the text of a key or deletes it. */
interface Write {
  readonly key: string;
  readonly isDeletion: boolean;
}

/** An update from the store or a peer; it may be late, repeated or missing. */
type Update =
  | {readonly kind: 'change'; readonly write: number}
  | {readonly kind: 'list'; readonly revision: number}
  /**
   * A list in which the last page is read at a later revision than the first.
   */
  | {readonly kind: 'pages'; readonly first: number; readonly last: number}
  /** The response of a watch that starts at the synced revision. */
  | {readonly kind: 'watch'; readonly through: number};

const KEYS = ['one', 'two', 'three'];
const SECOND_PAGE_KEY = 'three';

const writes = fastCheck.array(
  fastCheck.record({
    key: fastCheck.constantFrom(...KEYS),
    isDeletion: fastCheck.boolean(),
  }),
  {minLength: 1, maxLength: 14},
);
const position = fastCheck.nat(14);
const updates = fastCheck.array(
  fastCheck.oneof(
    fastCheck.record({kind: fastCheck.constant('change'), write: position}),
    fastCheck.record({kind: fastCheck.constant('list'), revision: position}),
    fastCheck.record({
      kind: fastCheck.constant('pages'),
      first: position,
      last: position,
    }),
    fastCheck.record({kind: fastCheck.constant('watch'), through: position}),
  ) as fastCheck.Arbitrary<Update>,
  {maxLength: 20},
);

/** The store; write number n creates revision n + 1, counting from 0. */
class Store {
  constructor(private readonly writes: readonly Write[]) {}

  get revision(): number {
    return this.writes.length;
  }

  changeAt(revision: number): publishedState.ItemChange {
    const {isDeletion, key} = this.writes[revision - 1];
    return {key, revision, text: isDeletion ? null : `text ${revision}`};
  }

  /** The last change of a key up to a revision. */
  lastChange(key: string, revision: number): publishedState.ItemChange | null {
    for (let at = Math.min(revision, this.revision); at > 0; at--) {
      if (this.writes[at - 1].key === key) return this.changeAt(at);
    }
    return null;
  }

  list(keys: readonly string[], revision: number) {
    return keys
      .map(key => this.lastChange(key, revision))
      .filter(change => change !== null)
      .filter(change => change.text !== null);
  }
}

/**
 * Delivers an update to the items; returns the changes they accepted as new.
 */
function deliver(
  items: versionedItems.VersionedItems,
  store: Store,
  update: Update,
): readonly publishedState.ItemChange[] {
  const clamp = (revision: number) => Math.min(revision, store.revision);
  switch (update.kind) {
    case 'change': {
      const change = store.changeAt(Math.max(1, clamp(update.write)));
      return items.merge(change) ? [change] : [];
    }
    case 'list': {
      const revision = clamp(update.revision);
      return items.mergeList(store.list(KEYS, revision), revision);
    }
    case 'pages': {
      const first = clamp(Math.min(update.first, update.last));
      const last = clamp(Math.max(update.first, update.last));
      const early = KEYS.filter(key => key !== SECOND_PAGE_KEY);
      const list = [
        ...store.list(early, first),
        ...store.list([SECOND_PAGE_KEY], last),
      ];
      return items.mergeList(list, first);
    }
    case 'watch': {
      const applied: publishedState.ItemChange[] = [];
      const through = clamp(update.through);
      for (let at = items.syncedRevision + 1; at <= through; at++) {
        const change = store.changeAt(at);
        if (items.merge(change)) applied.push(change);
      }
      items.markSynced(through);
      return applied;
    }
  }
}

test('no order of updates reverts an item to an older state', t => {
  // Guards against an older update replacing a newer one: a list combined with
  // events, pages of different revisions, or state from peers (issue 16).
  fastCheck.assert(
    fastCheck.property(writes, updates, (history, delivered) => {
      const store = new Store(history);
      const items = new versionedItems.VersionedItems();
      const seen = new Map<string, number>();
      for (const update of delivered) {
        for (const {key, revision} of deliver(items, store, update)) {
          t.true(revision > (seen.get(key) ?? 0));
          seen.set(key, revision);
        }
      }
    }),
    {numRuns: 2_000, seed: 16},
  );
});

test('items synced to the last revision equal the contents of the store', t => {
  fastCheck.assert(
    fastCheck.property(writes, updates, (history, delivered) => {
      const store = new Store(history);
      const items = new versionedItems.VersionedItems();
      for (const update of delivered) deliver(items, store, update);
      deliver(items, store, {kind: 'watch', through: store.revision});
      const known = items
        .changes()
        .filter(change => change.text !== null)
        .map(({key, text}) => [key, text] as const);
      const stored = store
        .list(KEYS, store.revision)
        .map(({key, text}) => [key, text] as const);
      t.deepEqual(known.sort(), stored.sort());
    }),
    {numRuns: 2_000, seed: 17},
  );
});

test('a peer receives all known changes', t => {
  fastCheck.assert(
    fastCheck.property(
      writes,
      updates,
      updates,
      (history, delivered, deliveredToPeer) => {
        const store = new Store(history);
        const items = new versionedItems.VersionedItems();
        const peer = new versionedItems.VersionedItems();
        for (const update of delivered) deliver(items, store, update);
        for (const update of deliveredToPeer) deliver(peer, store, update);
        peer.mergeList(items.changes(), items.syncedRevision);
        for (const change of items.changes()) {
          t.false(peer.merge(change), 'The peer lacked a change.');
        }
      },
    ),
    {numRuns: 2_000, seed: 18},
  );
});

type Transfer =
  | {readonly to: 'sender' | 'receiver'; readonly update: Update}
  | {readonly to: 'transfer'};

test('a peer that pulls changes since its revision equals its sender', t => {
  // Guards against a deletion or a change that is missing from the difference
  // between two states, and against a difference that reverts an item.
  const transfers = fastCheck.array(
    fastCheck.oneof(
      fastCheck.record({
        to: fastCheck.constantFrom('sender', 'receiver'),
        update: updates.map(list => list[0]).filter(Boolean),
      }),
      fastCheck.record({to: fastCheck.constant('transfer')}),
    ) as fastCheck.Arbitrary<Transfer>,
    {maxLength: 30},
  );
  fastCheck.assert(
    fastCheck.property(writes, transfers, (history, steps) => {
      const store = new Store(history);
      const sender = new versionedItems.VersionedItems();
      const receiver = new versionedItems.VersionedItems();
      const seen = new Map<string, number>();
      const accept = (applied: readonly publishedState.ItemChange[]) => {
        for (const {key, revision} of applied) {
          t.true(revision > (seen.get(key) ?? 0));
          seen.set(key, revision);
        }
      };
      const pull = () => {
        const changes = sender.changesSince(receiver.syncedRevision);
        const revision = sender.syncedRevision;
        accept(
          changes === null
            ? receiver.mergeList(sender.changes(), revision)
            : receiver.mergeChanges(changes, revision),
        );
      };
      for (const step of steps) {
        if (step.to === 'transfer') pull();
        else if (step.to === 'sender') deliver(sender, store, step.update);
        else accept(deliver(receiver, store, step.update));
      }
      deliver(sender, store, {kind: 'watch', through: store.revision});
      pull();
      const textsOf = (items: versionedItems.VersionedItems) =>
        items
          .changes()
          .filter(change => change.text !== null)
          .map(({key, text}) => `${key}: ${text}`)
          .sort();
      t.deepEqual(textsOf(receiver), textsOf(sender));
    }),
    {numRuns: 5_000, seed: 23},
  );
});
