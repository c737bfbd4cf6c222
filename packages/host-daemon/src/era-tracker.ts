import * as publishedState from './published-state.js';

/**
 * Minimum interval between reads of the store that check the era that a peer
 * claims, in milliseconds. It bounds the reads that a faulty peer causes.
 */
const MINIMUM_CHECK_INTERVAL_MS = 5_000;

/**
 * Decides which eras this process accepts. A faulty peer that claims an era far
 * in the future would make the process discard everything that the store says,
 * so such an era is checked with the store first.
 */
export class EraTracker {
  private current = 0;
  /** Highest era that the store itself has reported to this process. */
  private reportedByStore: number | null = null;
  private isStoreReachable = false;
  private isCheckNeeded = false;
  private lastCheckMs = -Infinity;

  /** The era of the state in use. */
  get era(): number {
    return this.current;
  }

  /** Whether the store has to be read to check the claim of a peer. */
  get needsStore(): boolean {
    return this.isCheckNeeded;
  }

  /** Records that the state in use is of this era; returns whether it is new. */
  advance(era: number): boolean {
    if (era <= this.current) return false;
    this.current = era;
    return true;
  }

  /** Records the era of a response of the store. */
  recordStoreEra(era: number): void {
    this.reportedByStore = Math.max(this.reportedByStore ?? 0, era);
  }

  /** Records a response or a failure of the store. */
  recordStoreResult(succeeded: boolean, nowMs: number): void {
    this.isStoreReachable = succeeded;
    this.isCheckNeeded = false;
    this.lastCheckMs = nowMs;
  }

  /** Whether state of this era is accepted from a peer. */
  acceptsFromPeer(era: number): boolean {
    if (era <= this.current) return true;
    if (!Number.isInteger(era) || era >= publishedState.ERA_LIMIT) return false;
    if (this.reportedByStore === null || !this.isStoreReachable) return true;
    return era <= this.reportedByStore + 1;
  }

  /** Requests a read of the store, unless one was made shortly before. */
  requestCheck(nowMs: number): void {
    if (nowMs - this.lastCheckMs < MINIMUM_CHECK_INTERVAL_MS) return;
    this.isCheckNeeded = true;
  }
}
