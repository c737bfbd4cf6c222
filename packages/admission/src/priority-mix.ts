/** Time constant of the decay of request counts, in milliseconds. */
const DECAY_TIME_CONSTANT_MS = 2_000;

/** Fraction of the demand that has a given priority. */
export interface PriorityShare {
  /** 0 is the most important. */
  readonly priority: number;
  readonly share: number;
}

/** Distribution of the priorities of recent requests. */
export class PriorityMix {
  private readonly counts = new Map<number, number>();
  private updatedMs = 0;

  note(priority: number, nowMs: number): void {
    this.decay(nowMs);
    this.counts.set(priority, (this.counts.get(priority) ?? 0) + 1);
  }

  /**
   * Returns shares that sum to 1, ordered from the least important priority.
   */
  shares(nowMs: number): readonly PriorityShare[] {
    this.decay(nowMs);
    let total = 0;
    for (const count of this.counts.values()) total += count;
    return [...this.counts]
      .map(([priority, count]) => ({priority, share: count / total}))
      .sort((entry, other) => other.priority - entry.priority);
  }

  /** Returns a copy, which shares no state. */
  copy(): PriorityMix {
    const copy = new PriorityMix();
    copy.updatedMs = this.updatedMs;
    for (const [priority, count] of this.counts) {
      copy.counts.set(priority, count);
    }
    return copy;
  }

  private decay(nowMs: number): void {
    const elapsedMs = nowMs - this.updatedMs;
    if (elapsedMs <= 0) return;
    this.updatedMs = nowMs;
    const factor = Math.exp(-elapsedMs / DECAY_TIME_CONSTANT_MS);
    for (const [priority, count] of this.counts) {
      this.counts.set(priority, count * factor);
    }
  }
}

/**
 * Returns the fraction of the requests of a priority to refuse at a given
 * pressure. A priority is only shed once all less important ones are refused
 * completely, so that `pressure` is the fraction of all requests that is
 * refused.
 */
export function refusedShare(
  pressure: number,
  priority: number,
  mix: readonly PriorityShare[],
): number {
  if (mix.length === 0) return pressure;
  let lessImportantShare = 0;
  let ownShare = 0;
  for (const entry of mix) {
    if (entry.priority > priority) lessImportantShare += entry.share;
    else if (entry.priority === priority) ownShare = entry.share;
  }
  const excess = pressure - lessImportantShare;
  if (ownShare === 0) return excess > 0 ? 1 : 0;
  return Math.min(1, Math.max(0, excess / ownShare));
}
