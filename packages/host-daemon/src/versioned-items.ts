import type * as publishedState from './published-state.js';

/** Number of recent deletions that can be told to peers one by one. */
const MAXIMUM_LOGGED_DELETIONS = 2_000;

interface Deletion {
  readonly key: string;
  readonly revision: number;
}

interface ItemState {
  readonly revision: number;
  readonly text: string | null;
}

/**
 * The items of a list with the revision of the last known change of each.
 * Updates come from the platform's list and watch and from peers. They may be
 * late, repeated or out of order; an older update never replaces a newer one.
 * Revisions are compared within an era only: a restore of the store begins a
 * new one, in which it assigns revisions again. Only a whole list can begin a
 * new era, because other updates do not tell which items the store has lost.
 */
export class VersionedItems {
  private currentEra = 0;
  /** Deletions are kept until all changes up to them are known. */
  private readonly items = new Map<string, ItemState>();
  /** Recent deletions, for peers that have an older state. */
  private deletions: Deletion[] = [];
  /** Deletions up to this revision may be missing from the log. */
  private deletionsForgottenThrough = 0;
  private synced = 0;
  private latest = 0;

  /** The latest era of which a whole list is known. */
  get era(): number {
    return this.currentEra;
  }

  /** All changes up to this revision are known. */
  get syncedRevision(): number {
    return this.synced;
  }

  /**
   * Revision of the newest change that is known here and may be unknown to a
   * peer. A whole list contains no deletions, so it counts as a change.
   */
  get latestRevision(): number {
    return Math.max(this.latest, this.deletionsForgottenThrough);
  }

  /**
   * Highest known revision: that up to which all changes are known, or that of
   * a later single change.
   */
  get highestRevision(): number {
    return Math.max(this.synced, this.latest);
  }

  /** The changes that bring a peer up to date with this process. */
  changes(): publishedState.ItemChange[] {
    return [...this.items].map(([key, item]) => ({key, ...item}));
  }

  /**
   * The changes after `revision`, for a peer that has all earlier ones of the
   * same era. Returns null if some of them are no longer known, or if the peer
   * is in another era.
   */
  changesSince(revision: number, era = 0): publishedState.ItemChange[] | null {
    if (era !== this.currentEra) return null;
    if (revision < this.deletionsForgottenThrough) return null;
    const changed = this.changes().filter(item => item.revision > revision);
    const deleted = this.deletions.filter(
      deletion => deletion.revision > revision && !this.items.has(deletion.key),
    );
    return [...changed, ...deleted.map(item => ({...item, text: null}))];
  }

  /** Merges the changes that bring this process up to `revision`. */
  mergeChanges(
    changes: readonly publishedState.ItemChange[],
    revision: number,
    era = 0,
  ): publishedState.ItemChange[] {
    const applied = changes.filter(change => this.merge(change, era));
    this.markSynced(revision, era);
    return applied;
  }

  /** Merges a change; returns whether it was new and of the current era. */
  merge(change: publishedState.ItemChange, era = 0): boolean {
    if (era !== this.currentEra) return false;
    // An unknown key did not exist or had been deleted at `syncedRevision`.
    return this.mergeIfNewer(change, this.synced);
  }

  /**
   * Merges a whole list whose reading started at `revision`. Returns the new
   * changes, including deletions of the items that are not listed. A list of a
   * later era replaces all items.
   */
  mergeList(
    list: readonly publishedState.ItemChange[],
    revision: number,
    era = 0,
  ): publishedState.ItemChange[] {
    if (era < this.currentEra) return [];
    if (era > this.currentEra) return this.replaceAll(list, revision, era);
    // Items of a list that is not older than the synced revision exist, even if
    // they are unknown here.
    const floor = revision < this.synced ? this.synced : 0;
    // An item that was created and deleted since the last update is unknown.
    this.deletionsForgottenThrough = Math.max(
      this.deletionsForgottenThrough,
      revision,
    );
    const applied = list.filter(change => this.mergeIfNewer(change, floor));
    const listed = new Set(list.map(item => item.key));
    for (const [key, item] of this.items) {
      if (item.text === null || listed.has(key)) continue;
      const deletion = {key, revision, text: null};
      if (this.merge(deletion, era)) applied.push(deletion);
    }
    this.markSynced(revision, era);
    return applied;
  }

  /** Records that all changes up to this revision have been merged. */
  markSynced(revision: number, era = 0): void {
    if (era !== this.currentEra || revision <= this.synced) return;
    this.synced = revision;
    for (const [key, item] of this.items) {
      if (item.text === null && item.revision <= revision) {
        this.items.delete(key);
      }
    }
  }

  /** Begins a new era with its list. */
  private replaceAll(
    list: readonly publishedState.ItemChange[],
    revision: number,
    era: number,
  ): publishedState.ItemChange[] {
    const listed = new Set(list.map(item => item.key));
    const lapsed = [...this.items].filter(
      ([key, {text}]) => text !== null && !listed.has(key),
    );
    this.currentEra = era;
    this.items.clear();
    this.deletions = [];
    this.deletionsForgottenThrough = revision;
    this.synced = 0;
    this.latest = 0;
    const applied = list.filter(change => this.mergeIfNewer(change, 0));
    this.markSynced(revision, era);
    const deletion = {revision, text: null, isLapsed: true};
    return [...applied, ...lapsed.map(([key]) => ({key, ...deletion}))];
  }

  /**
   * `floor` is the revision up to which an unknown key is known not to exist.
   */
  private mergeIfNewer(
    change: publishedState.ItemChange,
    floor: number,
  ): boolean {
    const {key, revision, text} = change;
    const knownRevision = this.items.get(key)?.revision ?? floor;
    if (revision <= knownRevision) return false;
    this.items.set(key, {revision, text});
    if (text === null) this.logDeletion({key, revision});
    this.latest = Math.max(this.latest, revision);
    return true;
  }

  private logDeletion(deletion: Deletion): void {
    this.deletions.push(deletion);
    if (this.deletions.length <= MAXIMUM_LOGGED_DELETIONS) return;
    const forgotten = this.deletions.splice(0, MAXIMUM_LOGGED_DELETIONS / 2);
    for (const {revision} of forgotten) {
      this.deletionsForgottenThrough = Math.max(
        this.deletionsForgottenThrough,
        revision,
      );
    }
  }
}
