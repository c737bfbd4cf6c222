/**
 * Weight of an outcome. The share follows a change after some seven calls, and
 * deviates by chance by about 0.14 at a share of a half.
 */
const SMOOTHING = 0.15;

/**
 * Half-life of the share without outcomes. A server without calls is tried
 * again after a while.
 */
const IDLE_HALF_LIFE_MS = 6_000;

/**
 * A call that runs for longer than usual by this factor is late. With a spread
 * of the work of 0.8, 5 of 100 calls of a server that is well are late.
 */
const LATE_FACTOR = 3;

/**
 * At least this many running calls, and this fraction of them, become late at
 * once in a pause of the server or of this process. Those of a slow server
 * become late one after the other; with a fraction of 0.3 or 0.4, some servers
 * that were 7 times slower were noticed 250 ms later.
 */
const MINIMUM_BURST = 4;
const MINIMUM_BURST_RATIO = 0.5;

/**
 * A call of such a burst is taken back if it ends well within this multiple of
 * the time after which it was late.
 */
const RETRACTION_FACTOR = 3;

/** A delay shorter than this may be one of this process. */
const MINIMUM_DELAY_MS = 20;

/** Running calls are checked again after this time, not for each reader. */
const REFRESH_INTERVAL_MS = 20;

interface CountedCall {
  readonly atMs: number;
  /** Number of outcomes noted until then. */
  readonly outcomes: number;
  readonly isOfBurst: boolean;
}

/** A running call whose outcome is awaited. */
export interface ObservedCall {
  readonly lateAtMs: number;
  /** If it ends well before, it is taken back as one of a burst. */
  readonly retractableUntilMs: number;
  /** Set when the call was counted as late while it ran. */
  counted: CountedCall | null;
}

/** What the end of a call says about the server. */
export type CallQuality =
  | 'good'
  /** Failed, or refused by the server. */
  | 'poor'
  /** Nothing, for example because its sender has given up. */
  | 'unknown';

/**
 * The share of the recent calls of a server that failed, were refused by it, or
 * were late. A running call counts as soon as it is late, so that a server that
 * answers nothing is noticed before the calls time out.
 */
export class PoorOutcomes {
  private readonly running = new Set<ObservedCall>();
  private share = 0;
  /** Number of outcomes that have been noted. */
  private outcomes = 0;
  private updatedMs = 0;
  private refreshedMs = -Infinity;

  /** `expectedMs` is the usual run time; absent if it is not known. */
  start(expectedMs: number | undefined, nowMs: number): ObservedCall {
    const limitMs =
      expectedMs === undefined
        ? Infinity
        : Math.max(LATE_FACTOR * expectedMs, MINIMUM_DELAY_MS);
    const call: ObservedCall = {
      lateAtMs: nowMs + limitMs,
      retractableUntilMs: nowMs + RETRACTION_FACTOR * limitMs,
      counted: null,
    };
    this.running.add(call);
    return call;
  }

  end(call: ObservedCall, quality: CallQuality, nowMs: number): void {
    if (!this.running.delete(call)) return;
    if (call.counted) {
      if (quality === 'good' && nowMs < call.retractableUntilMs) {
        this.retract(call.counted, nowMs);
      }
      return;
    }
    const isLate = nowMs >= call.lateAtMs;
    if (quality === 'unknown' && !isLate) return;
    this.note(isLate || quality === 'poor' ? 1 : 0, nowMs);
  }

  /** Forgets everything; calls that still run say nothing about what follows. */
  reset(): void {
    this.running.clear();
    this.share = 0;
  }

  /** Returns the share now, from 0 to 1. */
  current(nowMs: number): number {
    if (nowMs - this.refreshedMs >= REFRESH_INTERVAL_MS) {
      this.refreshedMs = nowMs;
      this.countLateCalls(nowMs);
    }
    return this.decayed(nowMs);
  }

  private countLateCalls(nowMs: number): void {
    const late = [...this.running].filter(
      ({counted, lateAtMs}) => !counted && nowMs >= lateAtMs,
    );
    const isOfBurst =
      late.length >= MINIMUM_BURST &&
      late.length >= this.running.size * MINIMUM_BURST_RATIO;
    for (const call of late) {
      this.note(1, nowMs);
      call.counted = {atMs: nowMs, outcomes: this.outcomes, isOfBurst};
    }
  }

  /** Changes the share as if the call had been noted as good. */
  private retract(
    {atMs, isOfBurst, outcomes}: CountedCall,
    nowMs: number,
  ): void {
    if (!isOfBurst) return;
    const kept = (1 - SMOOTHING) ** (this.outcomes - outcomes);
    const part = SMOOTHING * kept * 0.5 ** ((nowMs - atMs) / IDLE_HALF_LIFE_MS);
    this.share = Math.max(0, this.decayed(nowMs) - part);
    this.updatedMs = nowMs;
  }

  private note(poor: 0 | 1, nowMs: number): void {
    const share = this.decayed(nowMs);
    this.share = share + SMOOTHING * (poor - share);
    this.updatedMs = nowMs;
    this.outcomes++;
  }

  private decayed(nowMs: number): number {
    if (this.share === 0) return 0;
    const idleMs = Math.max(0, nowMs - this.updatedMs);
    return this.share * 0.5 ** (idleMs / IDLE_HALF_LIFE_MS);
  }
}
