/**
 * Time without being empty after which a queue counts as a standing queue. With
 * random arrivals at 90% of an organisation's share, its queue stays busy for
 * 100 ms every few seconds, so the interval has to be longer.
 */
const STANDING_QUEUE_MS = 300;

/** Bounds of the sojourn time allowed in a standing queue. */
const MINIMUM_SOJOURN_MS = 20;
const MAXIMUM_SOJOURN_MS = 500;

/**
 * Sojourn time allowed in a burst. At 90% of an organisation's share, its least
 * important calls wait for 200 ms every few seconds.
 */
const BURST_SOJOURN_MS = 500;

/**
 * Sojourn time control, based on CoDel, for the calls of one organisation in
 * one importance class. A queue that becomes empty regularly may absorb bursts;
 * a standing queue is limited to a short sojourn time. State is kept per
 * organisation, so that a standing queue does not shorten the wait of
 * organisations within their share.
 */
export class SojournControl {
  private nonEmptySinceMs: number | null = null;

  noteEnqueue(nowMs: number): void {
    this.nonEmptySinceMs ??= nowMs;
  }

  noteEmpty(): void {
    this.nonEmptySinceMs = null;
  }

  isStanding(nowMs: number): boolean {
    return (
      this.nonEmptySinceMs !== null &&
      nowMs - this.nonEmptySinceMs >= STANDING_QUEUE_MS
    );
  }
}

/**
 * Returns the maximum sojourn time. `degree` is 0 for a burst and 1 for a
 * standing queue or an organisation far above its share. A standing queue
 * retains about one service time of work, so that a slow service does not
 * become idle.
 */
export function maximumSojournMs(
  degree: number,
  medianServiceMs: number,
): number {
  const standingMs = Math.min(
    MAXIMUM_SOJOURN_MS,
    Math.max(MINIMUM_SOJOURN_MS, medianServiceMs),
  );
  return BURST_SOJOURN_MS + (standingMs - BURST_SOJOURN_MS) * degree;
}
