import * as performanceHooks from 'node:perf_hooks';
import type * as cancelSignal from './cancel-signal.js';

/**
 * Time source and timers, injected so that tests can run in virtual time. Pure
 * decision functions take the current time as an argument instead.
 */
export interface Clock {
  /** Milliseconds since an arbitrary instant; never decreases. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch; may jump in either direction. */
  wallMs(): number;
  /**
   * Resolves after `milliseconds`, or immediately when the signal aborts.
   * Never rejects, so that a loop can check the signal in one place.
   */
  delay(
    milliseconds: number,
    signal?: cancelSignal.CancelSignal,
  ): Promise<void>;
}

/** Reads the system clocks. */
export class SystemClock implements Clock {
  monotonicMs(): number {
    // Cheaper than process.hrtime.bigint(); each call reads the time about ten
    // times.
    return performanceHooks.performance.now();
  }

  wallMs(): number {
    return new Date().getTime();
  }

  delay(
    milliseconds: number,
    signal?: cancelSignal.CancelSignal,
  ): Promise<void> {
    return new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, milliseconds);
      signal?.addEventListener('abort', finish);
    });
  }
}

interface PendingDelay {
  readonly dueMs: number;
  readonly sequence: number;
  readonly complete: () => void;
}

/** A clock that runs code in virtual time: it only moves on `advance`. */
export class ManualClock implements Clock {
  private pendingDelays: PendingDelay[] = [];
  private nextSequence = 0;
  private wallOffsetMs: number;

  constructor(
    private currentMs = 0,
    wallStartMs = 1_700_000_000_000,
  ) {
    this.wallOffsetMs = wallStartMs - currentMs;
  }

  monotonicMs(): number {
    return this.currentMs;
  }

  wallMs(): number {
    return this.currentMs + this.wallOffsetMs;
  }

  /** Adjusts the wall clock without advancing monotonic time. */
  stepWallClock(milliseconds: number): void {
    this.wallOffsetMs += milliseconds;
  }

  delay(
    milliseconds: number,
    signal?: cancelSignal.CancelSignal,
  ): Promise<void> {
    return new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const pendingDelay: PendingDelay = {
        dueMs: this.currentMs + Math.max(0, milliseconds),
        sequence: this.nextSequence++,
        complete: () => {
          signal?.removeEventListener('abort', abort);
          resolve();
        },
      };
      const abort = () => {
        this.pendingDelays = this.pendingDelays.filter(
          other => other !== pendingDelay,
        );
        pendingDelay.complete();
      };
      signal?.addEventListener('abort', abort);
      this.pendingDelays.push(pendingDelay);
    });
  }

  /**
   * Advances time and completes the due delays in order of their due time. The
   * code that awaits a delay runs before the next delay completes.
   */
  async advance(milliseconds: number): Promise<void> {
    const endMs = this.currentMs + milliseconds;
    await drainMicrotasks();
    for (;;) {
      const next = this.earliestDueDelay(endMs);
      if (!next) break;
      this.currentMs = Math.max(this.currentMs, next.dueMs);
      this.pendingDelays = this.pendingDelays.filter(other => other !== next);
      next.complete();
      await drainMicrotasks();
    }
    this.currentMs = endMs;
  }

  private earliestDueDelay(endMs: number): PendingDelay | undefined {
    let earliest: PendingDelay | undefined;
    for (const pendingDelay of this.pendingDelays) {
      if (pendingDelay.dueMs > endMs) continue;
      if (
        !earliest ||
        pendingDelay.dueMs < earliest.dueMs ||
        (pendingDelay.dueMs === earliest.dueMs &&
          pendingDelay.sequence < earliest.sequence)
      ) {
        earliest = pendingDelay;
      }
    }
    return earliest;
  }
}

/** Lets pending promise reactions run before virtual time advances. */
async function drainMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 10; turn++) await Promise.resolve();
}
