/** Limits on the calls that a cold backend server gets. */
export interface ColdStartLimitSettings {
  /** Calls per second that the server tolerates while cold. */
  readonly perSecond: number;
  /** Calls within any second at which it may crash. */
  readonly maximumPerSecond: number;
}

/** Time whose calls may be sent at once, in seconds. */
const BURST_SECONDS = 0.2;

/**
 * Sliding window of the log, in milliseconds. Longer than a second, because
 * calls may reach the server up to this much closer together than they start.
 */
const WINDOW_MS = 1_100;

/** A retry sooner than this would find the same limit. */
const MINIMUM_RETRY_AFTER_MS = 150;

const MAXIMUM_RETRY_AFTER_MS = 5_000;

/** Time in which what is known of the server is expected to be renewed. */
const EXPIRED_MS = 100;

/** Waits below this are rounding errors. */
const NEGLIGIBLE_WAIT_MS = 1e-6;

/**
 * Limits the calls that start at a backend server while it is cold. A token
 * bucket spaces the calls at the rate that the server tolerates. A log of the
 * last calls limits any sliding second; it includes the calls that were sent
 * before the server was known to be cold, so that they are counted too.
 */
export class ColdStartLimit {
  private perSecondLimit = 0;
  private burst = 1;
  /** Maximum number of calls within `WINDOW_MS`. */
  private windowMaximum = 1;
  private tokens = 0;
  private tokensUpdatedMs = 0;
  private coldUntilMs = -Infinity;
  private beganMs = -Infinity;
  private verdictDueMs = -Infinity;
  private validUntilMs = Infinity;
  /** Start times of the last calls, oldest first. */
  private starts: number[] = [];

  constructor(settings: ColdStartLimitSettings) {
    this.configure(settings);
  }

  /** Calls per second while the limit is in force. */
  get perSecond(): number {
    return this.perSecondLimit;
  }

  configure({perSecond, maximumPerSecond}: ColdStartLimitSettings): void {
    this.perSecondLimit = perSecond;
    // Half of the distance to the maximum remains for calls that are delayed
    // on their way.
    const spare = (maximumPerSecond - perSecond) / 2;
    this.burst = Math.max(1, Math.min(perSecond * BURST_SECONDS, spare));
    const designMaximum = (perSecond * WINDOW_MS) / 1_000 + this.burst;
    this.windowMaximum = Math.max(
      1,
      Math.floor(Math.min(designMaximum, maximumPerSecond)),
    );
    this.tokens = Math.min(this.tokens, this.burst);
  }

  isActive(nowMs: number): boolean {
    return nowMs < this.coldUntilMs || this.hasExpired(nowMs);
  }

  /**
   * Sets the time from which the server is treated as cold, whatever was known
   * of it: a process that stood still has missed what happened meanwhile.
   */
  keepValidUntil(validUntilMs: number): void {
    this.validUntilMs = validUntilMs;
  }

  /**
   * Puts the limit in force, or changes its end. Until `verdictDueMs` the
   * server may still turn out to be warm. The bucket is empty at first, because
   * a process that has just ended may have sent calls as well.
   */
  begin(coldUntilMs: number, verdictDueMs: number, nowMs: number): void {
    if (!this.isActive(nowMs)) {
      this.tokens = 0;
      this.tokensUpdatedMs = this.beganMs = nowMs;
    }
    this.coldUntilMs = coldUntilMs;
    this.verdictDueMs = verdictDueMs;
  }

  /** Whether the limit is in force, but was not yet at an earlier time. */
  hasBegunSince(earlierMs: number, nowMs: number): boolean {
    return this.isActive(nowMs) && this.beganMs > earlierMs;
  }

  end(): void {
    this.coldUntilMs = -Infinity;
  }

  /** Returns the time until the next call may start, in milliseconds. */
  waitMs(nowMs: number): number {
    return this.waitOfPosition(1, nowMs);
  }

  /**
   * Returns the expected wait, in milliseconds, of the call at this position of
   * the queue; 1 is the first.
   */
  expectedWaitMs(position: number, nowMs: number): number {
    const waitMs = this.waitOfPosition(position, nowMs);
    const verdictMs = this.verdictMs(nowMs);
    return verdictMs > 0 ? Math.min(waitMs, verdictMs) : waitMs;
  }

  /** Records that a call starts, whether or not the limit is in force. */
  noteStart(nowMs: number): void {
    this.starts.push(nowMs);
    if (this.starts.length >= 2 * this.windowMaximum) {
      this.starts = this.starts.slice(-this.windowMaximum);
    }
    if (!this.isActive(nowMs)) return;
    this.refill(nowMs);
    this.tokens--;
  }

  /**
   * Returns the delay, in milliseconds, to suggest to a caller that this limit
   * refuses. The queue is full again as soon as a call has left it, so callers
   * should return when the server is warm, unless that is long.
   */
  retryAfterMs(nowMs: number): number {
    const verdictMs = this.verdictMs(nowMs);
    const dueMs = verdictMs > 0 ? verdictMs : this.coldUntilMs - nowMs;
    return Math.min(
      MAXIMUM_RETRY_AFTER_MS,
      Math.max(MINIMUM_RETRY_AFTER_MS, dueMs),
    );
  }

  private hasExpired(nowMs: number): boolean {
    return nowMs >= this.validUntilMs;
  }

  /** Returns the time until the server may turn out to be warm. */
  private verdictMs(nowMs: number): number {
    return this.hasExpired(nowMs) ? EXPIRED_MS : this.verdictDueMs - nowMs;
  }

  private waitOfPosition(position: number, nowMs: number): number {
    if (!this.isActive(nowMs)) return 0;
    this.refill(nowMs);
    const tokenMs = ((position - this.tokens) / this.perSecondLimit) * 1_000;
    const oldestInWindow =
      this.starts.length - this.windowMaximum + position - 1;
    const index = Math.min(oldestInWindow, this.starts.length - 1);
    const windowMs = index < 0 ? 0 : this.starts[index] + WINDOW_MS - nowMs;
    const waitMs = Math.max(tokenMs, windowMs);
    if (waitMs <= NEGLIGIBLE_WAIT_MS) return 0;
    return this.hasExpired(nowMs)
      ? waitMs
      : Math.min(waitMs, this.coldUntilMs - nowMs);
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.tokensUpdatedMs);
    this.tokensUpdatedMs = Math.max(nowMs, this.tokensUpdatedMs);
    this.tokens = Math.min(
      this.burst,
      this.tokens + (elapsedMs * this.perSecondLimit) / 1_000,
    );
  }
}
