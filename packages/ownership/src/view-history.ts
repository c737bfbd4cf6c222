import type * as protocol from '@camphorwharf/protocol';
import * as constants from './constants.js';
import * as views from './views.js';

/** One view that may still be acted under, and what is known against it. */
interface HistoryEntry {
  readonly view: protocol.View;
  readonly addedMs: number;
  /** Members heard with a higher adopted view, and when this was known. */
  readonly retired: Map<string, number>;
  /** Members whose host was heard under a newer incarnation, and when. */
  readonly lost: Map<string, number>;
}

/** What an answer proves about the process that gave it. */
export interface Observation {
  readonly identity: protocol.MemberIdentity;
  readonly adopted: protocol.View | null;
  readonly pingSentMs: number;
  readonly firstHeardMs: number;
}

/** Incarnation of the members of the view that stands for a host list. */
const NO_INCARNATION = '';

/** How many ids of settled views are remembered. */
const SETTLED_LIMIT = 64;

/**
 * The views, the adopted one included, that may still be acted under as far
 * as this member knows. An entry leaves when it is settled: a majority of
 * its members has been known to have retired for the takeover fence. Entries
 * below a view that some member acts under leave at once (V5).
 */
export class ViewHistory {
  private readonly entries = new Map<string, HistoryEntry>();
  private readonly settledKeys = new Set<string>();
  private floor: protocol.ViewIdentity | null = null;
  private highest = 0;

  constructor(private readonly fenceMs: number) {}

  /** The highest view number seen. */
  get highestNumber(): number {
    return this.highest;
  }

  get size(): number {
    return this.entries.size;
  }

  list(): protocol.View[] {
    return [...this.entries.values()].map(entry => entry.view);
  }

  has(view: protocol.View): boolean {
    return this.entries.has(views.viewKey(view.identity));
  }

  /** The entries other than `adopted`. */
  others(adopted: protocol.View): protocol.View[] {
    return this.list().filter(view => !views.sameView(view, adopted));
  }

  /**
   * Adds views; returns false, and adds none, when they do not fit. A caller
   * then treats the message as lost, because a partial history is unsafe.
   */
  merge(additions: readonly protocol.View[], nowMs: number): boolean {
    const missing = new Map<string, protocol.View>();
    for (const view of additions) {
      if (view.members.length > constants.CELL_MEMBER_LIMIT) return false;
      const key = views.viewKey(view.identity);
      if (!this.entries.has(key) && this.mayAct(view.identity)) {
        missing.set(key, view);
      }
    }
    if (this.entries.size + missing.size > constants.VIEW_HISTORY_LIMIT) {
      return false;
    }
    for (const [key, view] of missing) {
      this.highest = Math.max(this.highest, view.identity.number);
      this.entries.set(key, {
        view,
        addedMs: nowMs,
        retired: new Map(),
        lost: new Map(),
      });
    }
    return true;
  }

  /** Drops what `active` supersedes: some member has acted under it. */
  raiseFloor(active: protocol.View, nowMs: number): void {
    if (this.floor && views.compareViews(active.identity, this.floor) <= 0) {
      return;
    }
    const superseded = [...this.entries.keys()].filter(key =>
      views.isHigher(active, this.entries.get(key)?.view ?? null),
    );
    // Without room for the active view itself the older ones have to stay.
    if (superseded.length === 0 && !this.merge([active], nowMs)) return;
    for (const key of superseded) this.entries.delete(key);
    this.merge([active], nowMs);
    this.floor = active.identity;
  }

  /** Notes what an answer proves about the members of each entry. */
  observe(seen: Observation, nowMs: number): void {
    for (const entry of this.entries.values()) {
      for (const member of entry.view.members) {
        if (member.hostId !== seen.identity.hostId) continue;
        const key = views.memberKey(member);
        if (member.incarnation === seen.identity.incarnation) {
          if (views.isHigher(seen.adopted, entry.view)) {
            noteFirst(entry.retired, key, nowMs);
          }
        } else if (member.incarnation === NO_INCARNATION) {
          noteFirst(entry.lost, key, seen.firstHeardMs);
        } else if (seen.pingSentMs > entry.addedMs) {
          // The member existed before the ping was sent, and its host answered
          // the ping under another incarnation, which is therefore newer.
          noteFirst(entry.lost, key, nowMs);
        }
      }
    }
  }

  /** Whether a majority of the running members of `view` has retired. */
  hasRetired(view: protocol.View): boolean {
    const entry = this.entries.get(views.viewKey(view.identity));
    if (!entry) return true;
    return entry.retired.size >= views.majorityOf(view.members.length);
  }

  /**
   * Removes settled entries. `isBound` tells whether a majority of some hosts
   * has answered this member since it adopted `adopted`.
   */
  settle(
    adopted: protocol.View,
    isBound: (hostIds: readonly string[]) => boolean,
    nowMs: number,
  ): void {
    for (const [key, entry] of this.entries) {
      if (views.sameView(entry.view, adopted)) continue;
      if (!this.isSettled(entry, isBound, nowMs)) continue;
      this.entries.delete(key);
      this.settledKeys.add(key);
      if (this.settledKeys.size > SETTLED_LIMIT) {
        const [oldest] = this.settledKeys;
        this.settledKeys.delete(oldest);
      }
    }
  }

  private mayAct(identity: protocol.ViewIdentity): boolean {
    if (this.floor && views.compareViews(identity, this.floor) < 0) {
      return false;
    }
    return !this.settledKeys.has(views.viewKey(identity));
  }

  /**
   * Restarted members prove that the view has lost its majority, but they
   * have forgotten any later view that they took part in. They count only
   * when too few running members are left to decide, and then only together
   * with answers of a majority of the view's hosts and of the listed hosts.
   */
  private isSettled(
    entry: HistoryEntry,
    isBound: (hostIds: readonly string[]) => boolean,
    nowMs: number,
  ): boolean {
    const members = entry.view.members;
    const majority = views.majorityOf(members.length);
    const knownBefore = nowMs - this.fenceMs;
    let retired = 0;
    let gone = 0;
    let undecided = 0;
    for (const member of members) {
      const key = views.memberKey(member);
      const retiredMs = entry.retired.get(key) ?? Infinity;
      const lostMs = entry.lost.get(key) ?? Infinity;
      if (retiredMs <= knownBefore) retired++;
      if (Math.min(retiredMs, lostMs) <= knownBefore) gone++;
      if (lostMs === Infinity || retiredMs < Infinity) undecided++;
    }
    if (retired >= majority) return true;
    if (undecided >= majority || gone < majority) return false;
    return isBound(members.map(member => member.hostId));
  }
}

/** A view that stands for "no view yet among these hosts" (V7). */
export function viewOfHosts(hostIds: readonly string[]): protocol.View {
  return {
    identity: {number: 0, proposer: hostIds.join(',')},
    members: hostIds.map(hostId => ({hostId, incarnation: NO_INCARNATION})),
  };
}

function noteFirst(
  known: Map<string, number>,
  key: string,
  atMs: number,
): void {
  if (!known.has(key)) known.set(key, atMs);
}
