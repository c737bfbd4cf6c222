import type * as publishedState from './published-state.js';

interface ItemState {
  readonly revision: number;
  readonly text: string | null;
}

/**
 * The items of a list with the revision of the last known change of each.
 * Words come from the platform's list and watch and from peers, and may be
 * late, repeated or out of order; an older one never replaces a newer one.
 */
export class VersionedItems {
  /** Deletions are kept until every change up to them is known. */
  private readonly items = new Map<string, ItemState>();
  private synced = 0;
  private latest = 0;

  /** Every change up to this revision is known. */
  get syncedRevision(): number {
    return this.synced;
  }

  /** Revision of the newest change that is known. */
  get latestRevision(): number {
    return this.latest;
  }

  /** The changes from which a peer learns all that is known here. */
  changes(): publishedState.ItemChange[] {
    return [...this.items].map(([key, item]) => ({key, ...item}));
  }

  /** Takes a change over; returns whether it was news. */
  merge(change: publishedState.ItemChange): boolean {
    // A key that is unknown was deleted or not there at `followed`.
    return this.mergeIfNewer(change, this.synced);
  }

  /**
   * Takes over a whole list whose reading began at `revision`. Returns what
   * was news, with the deletions of items that are not in it.
   */
  mergeList(
    list: readonly publishedState.ItemChange[],
    revision: number,
  ): publishedState.ItemChange[] {
    // Items of a list that is not older are there, whatever was followed.
    const floor = revision < this.synced ? this.synced : 0;
    const applied = list.filter(change => this.mergeIfNewer(change, floor));
    const listed = new Set(list.map(item => item.key));
    for (const [key, item] of this.items) {
      if (item.text === null || listed.has(key)) continue;
      const deletion = {key, revision, text: null};
      if (this.merge(deletion)) applied.push(deletion);
    }
    this.markSynced(revision);
    return applied;
  }

  /** Notes that every change up to this revision has been merged. */
  markSynced(revision: number): void {
    if (revision <= this.synced) return;
    this.synced = revision;
    for (const [key, item] of this.items) {
      if (item.text === null && item.revision <= revision) {
        this.items.delete(key);
      }
    }
  }

  /** `floor` is the revision below which an unknown key is known not to be. */
  private mergeIfNewer(
    change: publishedState.ItemChange,
    floor: number,
  ): boolean {
    const {key, revision, text} = change;
    const knownRevision = this.items.get(key)?.revision ?? floor;
    if (revision <= knownRevision) return false;
    this.items.set(key, {revision, text});
    this.latest = Math.max(this.latest, revision);
    return true;
  }
}
