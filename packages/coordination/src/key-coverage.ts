import * as ownership from '@camphorwharf/ownership';

/**
 * How long claims of keys without a record wait for the hand-over of the former
 * owner, which is retried every 100 ms.
 */
const HAND_OVER_WAIT_MS = 300;

interface Coverage {
  /** Wall-clock time from which the former owner has a record of every key. */
  readonly sinceWallMs: number;
  readonly receivedMs: number;
}

/**
 * Tracks key shards for which a leaving owner has transferred all records. In
 * these shards, a key of the covered period without a record is unclaimed.
 */
export class KeyCoverage {
  private readonly shards = new Map<string, Coverage>();

  /** Records what the direct predecessor covered for these shards. */
  record(shards: readonly string[], sinceWallMs: number, nowMs: number): void {
    for (const shard of shards) {
      this.shards.set(shard, {sinceWallMs, receivedMs: nowMs});
    }
  }

  /**
   * Returns the start of ownership with which `KeyRecords` accepts keys that
   * the former owner covered; `ownerSinceMs` if no hand-over has arrived.
   */
  effectiveSinceMs(
    shard: string,
    ownerSinceMs: number,
    nowMs: number,
    nowWallMs: number,
  ): number {
    const coverage = this.shards.get(shard);
    // An older hand-over may come from an owner before the direct predecessor.
    if (
      !coverage ||
      coverage.receivedMs < ownerSinceMs - ownership.HAND_OVER_MAXIMUM_AGE_MS
    ) {
      return ownerSinceMs;
    }
    const coveredForMs = nowWallMs - coverage.sinceWallMs;
    const sinceMs = nowMs - coveredForMs - ownership.KEY_FUTURE_LIMIT_MS;
    return Math.min(ownerSinceMs, sinceMs);
  }

  /** Whether a hand-over of the shard's former owner may still arrive. */
  isPending(shard: string, ownerSinceMs: number, nowMs: number): boolean {
    return !this.shards.has(shard) && nowMs - ownerSinceMs < HAND_OVER_WAIT_MS;
  }
}
