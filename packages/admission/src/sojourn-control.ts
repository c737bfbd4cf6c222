/**
 * A queue that has not been empty for this long is a standing queue. Random
 * arrivals at 90% of an organisation's share keep its queue busy for 100 ms
 * every few seconds, so the interval is longer than that.
 */
const INTERVAL_MS = 300;

/** Shortest and longest sojourn time allowed to a standing queue. */
const MINIMUM_SOJOURN_MS = 20;
const MAXIMUM_SOJOURN_MS = 500;

/**
 * A burst may wait this long. At 90% of its share an organisation's queue
 * holds its least important calls for 200 ms every few seconds.
 */
const BURST_SOJOURN_MS = 500;

/**
 * Sojourn-time control, after CoDel, of one organisation's calls in one
 * class: a queue that empties now and then absorbs a burst, a standing queue
 * is cut to a short sojourn time. It is kept per organisation so that one
 * with a standing queue does not shorten the wait of those within their share.
 */
export class SojournControl {
  private waitingSinceMs: number | null = null;

  noteWaiting(nowMs: number): void {
    this.waitingSinceMs ??= nowMs;
  }

  noteEmpty(): void {
    this.waitingSinceMs = null;
  }

  stands(nowMs: number): boolean {
    return (
      this.waitingSinceMs !== null && nowMs - this.waitingSinceMs >= INTERVAL_MS
    );
  }
}

/**
 * The longest sojourn time allowed; `degree` is 0 for a burst and 1 for a
 * standing queue or an organisation far above its share. A standing queue keeps about one service
 * time of work, so that a slow service does not run dry.
 */
export function longestSojournMs(
  degree: number,
  typicalServiceMs: number,
): number {
  const short = Math.min(
    MAXIMUM_SOJOURN_MS,
    Math.max(MINIMUM_SOJOURN_MS, typicalServiceMs),
  );
  return BURST_SOJOURN_MS + (short - BURST_SOJOURN_MS) * degree;
}
