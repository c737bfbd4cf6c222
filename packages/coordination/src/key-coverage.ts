import * as ownership from '@camphorwharf/ownership';

/**
 * How long claims of keys without a record wait for the records of an owner
 * that has just left; its message is repeated every 100 ms.
 */
const HAND_OVER_WAIT_MS = 300;

interface Coverage {
  /** Wall-clock instant from which the former owner knew every key. */
  readonly sinceWallMs: number;
  readonly receivedMs: number;
}

/**
 * Key shards whose complete records a leaving owner has handed over. For
 * these, a key without a record that the former owner covered is new.
 */
export class KeyCoverage {
  private readonly shards = new Map<string, Coverage>();

  /** Takes the coverage of the direct predecessor for these shards. */
  record(shards: readonly string[], sinceWallMs: number, nowMs: number): void {
    for (const shard of shards) {
      this.shards.set(shard, {sinceWallMs, receivedMs: nowMs});
    }
  }

  /**
   * The start of ownership that `KeyRecords` needs to accept what the former
   * owner covered; `ownerSinceMs` itself without such a message.
   */
  effectiveSinceMs(
    shard: string,
    ownerSinceMs: number,
    nowMs: number,
    nowWallMs: number,
  ): number {
    const coverage = this.shards.get(shard);
    // An older message may come from an owner before the last one.
    if (
      !coverage ||
      coverage.receivedMs < ownerSinceMs - ownership.HAND_OVER_USE_MS
    ) {
      return ownerSinceMs;
    }
    const coveredForMs = nowWallMs - coverage.sinceWallMs;
    const sinceMs = nowMs - coveredForMs - ownership.KEY_FUTURE_LIMIT_MS;
    return Math.min(ownerSinceMs, sinceMs);
  }

  /** Whether the records of a leaving owner may still be on their way. */
  isPending(shard: string, ownerSinceMs: number, nowMs: number): boolean {
    return !this.shards.has(shard) && nowMs - ownerSinceMs < HAND_OVER_WAIT_MS;
  }
}
