import type * as routeWork from './route-work.js';

/** Estimates are computed again after this time, not for each call. */
const REFRESH_INTERVAL_MS = 10;

/** A call is expected to end no sooner than this. */
const MINIMUM_REMAINING_MS = 1;

/** A call that occupies a slot. */
export interface RunningCall {
  readonly route: string;
  readonly startedMs: number;
}

/**
 * The calls that run at one server, and the time that they are expected to
 * still run. A call of a heavy-tailed route that has run for long is expected
 * to run for longer than a new one.
 */
export class OutstandingWork {
  private readonly calls = new Set<RunningCall>();
  private meanMs: number | null = null;
  private computedMs = -Infinity;

  constructor(
    private readonly work: Pick<
      routeWork.RouteWork,
      'averageMs' | 'remainingMs'
    >,
  ) {}

  start(route: string, nowMs: number): RunningCall {
    const call = {route, startedMs: nowMs};
    this.calls.add(call);
    return call;
  }

  end(call: RunningCall): void {
    this.calls.delete(call);
  }

  /**
   * Returns the harmonic mean of the expected remaining work of the running
   * calls; null if nothing is known. Slots become free at the sum of the rates
   * of all calls, so that a call that hangs hardly delays the next free slot.
   * `speed` is that of the server.
   */
  meanRemainingMs(speed: number, nowMs: number): number | null {
    if (nowMs - this.computedMs >= REFRESH_INTERVAL_MS) {
      this.computedMs = nowMs;
      this.meanMs = this.compute(speed, nowMs);
    }
    return this.meanMs;
  }

  private compute(speed: number, nowMs: number): number | null {
    const {averageMs} = this.work;
    if (averageMs === null || this.calls.size === 0) return averageMs;
    let rates = 0;
    for (const call of this.calls) {
      const doneMs = (nowMs - call.startedMs) * speed;
      const remainingMs = this.work.remainingMs(call.route, doneMs);
      rates += 1 / Math.max(MINIMUM_REMAINING_MS, remainingMs ?? averageMs);
    }
    return this.calls.size / rates;
  }
}
