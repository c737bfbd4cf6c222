import type * as protocol from '@camphorwharf/protocol';
import * as constants from './constants.js';
import * as views from './views.js';

/** A view that may still be active, and the evidence that it is not. */
interface HistoryEntry {
  readonly view: protocol.View;
  readonly addedMs: number;
  /** When each member was first known to have adopted a higher view. */
  readonly retired: Map<string, number>;
  /** When each member was first known to be replaced by a newer incarnation. */
  readonly lost: Map<string, number>;
}

/** What is known about a process from its answer. */
export interface Observation {
  readonly identity: protocol.MemberIdentity;
  readonly adopted: protocol.View | null;
  readonly pingSentMs: number;
  readonly firstContactMs: number;
}

/** Incarnation of the members of a placeholder view. */
const PLACEHOLDER_INCARNATION = '';

/** How many keys of removed views are kept to reject late mentions of them. */
const REMOVED_KEY_LIMIT = 64;

/**
 * The views, including the adopted one, that may still be active as far as
 * this member knows. An entry is removed when its view has retired: a majority
 * of its members is known to have left it for at least the takeover fence.
 * Entries below a view that some member is active under are removed at once
 * (rule V5).
 */
export class ViewHistory {
  private readonly entries = new Map<string, HistoryEntry>();
  private readonly removedKeys = new Set<string>();
  private highestActive: protocol.ViewIdentity | null = null;
  private highest = 0;

  constructor(private readonly fenceMs: number) {}

  /** The highest view number ever added. */
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
  otherViews(adopted: protocol.View): protocol.View[] {
    return this.list().filter(view => !views.isSameView(view, adopted));
  }

  /**
   * Adds views, or returns false and adds none when the limit is exceeded. The
   * caller must then discard the message, because a partial history is unsafe.
   */
  merge(additions: readonly protocol.View[], nowMs: number): boolean {
    const missing = new Map<string, protocol.View>();
    for (const view of additions) {
      if (view.members.length > constants.CELL_MEMBER_LIMIT) return false;
      const key = views.viewKey(view.identity);
      if (!this.entries.has(key) && this.mayBeActive(view.identity)) {
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

  /** Removes the views below `active`, under which some member is active. */
  removeSuperseded(active: protocol.View, nowMs: number): void {
    if (
      this.highestActive &&
      views.compareViews(active.identity, this.highestActive) <= 0
    ) {
      return;
    }
    const superseded = [...this.entries.keys()].filter(key =>
      views.isHigher(active, this.entries.get(key)?.view ?? null),
    );
    // With a full history and nothing to remove, `active` cannot be added.
    if (superseded.length === 0 && !this.merge([active], nowMs)) return;
    for (const key of superseded) this.entries.delete(key);
    this.merge([active], nowMs);
    this.highestActive = active.identity;
  }

  /** Records what an answer proves about the members of each entry. */
  observe(observation: Observation, nowMs: number): void {
    for (const entry of this.entries.values()) {
      for (const member of entry.view.members) {
        if (member.hostId !== observation.identity.hostId) continue;
        const key = views.memberKey(member);
        if (member.incarnation === observation.identity.incarnation) {
          if (views.isHigher(observation.adopted, entry.view)) {
            recordFirst(entry.retired, key, nowMs);
          }
        } else if (member.incarnation === PLACEHOLDER_INCARNATION) {
          recordFirst(entry.lost, key, observation.firstContactMs);
        } else if (observation.pingSentMs > entry.addedMs) {
          // The member existed before the ping was sent, and its host answered
          // the ping under another incarnation, which is therefore newer.
          recordFirst(entry.lost, key, nowMs);
        }
      }
    }
  }

  /** Whether a majority of the members of `view` is known to have retired. */
  hasRetired(view: protocol.View): boolean {
    const entry = this.entries.get(views.viewKey(view.identity));
    if (!entry) return true;
    return entry.retired.size >= views.majorityOf(view.members.length);
  }

  /**
   * Removes the entries of retired views. `isKnownTo` tells whether a majority
   * of the given hosts has answered this member since it adopted `adopted`.
   */
  removeRetired(
    adopted: protocol.View,
    isKnownTo: (hostIds: readonly string[]) => boolean,
    nowMs: number,
  ): void {
    for (const [key, entry] of this.entries) {
      if (views.isSameView(entry.view, adopted)) continue;
      if (!this.isRetired(entry, isKnownTo, nowMs)) continue;
      this.entries.delete(key);
      this.removedKeys.add(key);
      if (this.removedKeys.size > REMOVED_KEY_LIMIT) {
        const [oldest] = this.removedKeys;
        this.removedKeys.delete(oldest);
      }
    }
  }

  private mayBeActive(identity: protocol.ViewIdentity): boolean {
    if (
      this.highestActive &&
      views.compareViews(identity, this.highestActive) < 0
    ) {
      return false;
    }
    return !this.removedKeys.has(views.viewKey(identity));
  }

  /**
   * Whether a majority has retired for the takeover fence. Members that were
   * replaced by a restart can no longer support the view, but a restarted
   * process has no record of later views that its host joined. Replaced members
   * therefore count only when too few running members remain to decide, and
   * only if a majority of the view's hosts and of the listed hosts answered.
   */
  private isRetired(
    entry: HistoryEntry,
    isKnownTo: (hostIds: readonly string[]) => boolean,
    nowMs: number,
  ): boolean {
    const members = entry.view.members;
    const majority = views.majorityOf(members.length);
    const fenceStartMs = nowMs - this.fenceMs;
    let retired = 0;
    let retiredOrReplaced = 0;
    let undecided = 0;
    for (const member of members) {
      const key = views.memberKey(member);
      const retiredMs = entry.retired.get(key) ?? Infinity;
      const lostMs = entry.lost.get(key) ?? Infinity;
      if (retiredMs <= fenceStartMs) retired++;
      if (Math.min(retiredMs, lostMs) <= fenceStartMs) retiredOrReplaced++;
      if (lostMs === Infinity || retiredMs < Infinity) undecided++;
    }
    if (retired >= majority) return true;
    if (undecided >= majority || retiredOrReplaced < majority) return false;
    return isKnownTo(members.map(member => member.hostId));
  }
}

/** A placeholder predecessor of a cell's first view (rule V7). */
export function placeholderView(hostIds: readonly string[]): protocol.View {
  return {
    identity: {number: 0, proposer: hostIds.join(',')},
    members: hostIds.map(hostId => ({
      hostId,
      incarnation: PLACEHOLDER_INCARNATION,
    })),
  };
}

function recordFirst(
  recorded: Map<string, number>,
  key: string,
  atMs: number,
): void {
  if (!recorded.has(key)) recorded.set(key, atMs);
}
