import * as performanceHooks from 'node:perf_hooks';
import type * as cancelSignal from './cancel-signal.js';

/** Time source and timers. Deciding functions take the time as an argument. */
export interface Clock {
  /** Milliseconds since an arbitrary instant; never steps backwards. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch; may step in either direction. */
  wallMs(): number;
  /**
   * Resolves after `milliseconds`, or at once when the signal aborts.
   * Never rejects, so that loops can test the signal in one place.
   */
  delay(
    milliseconds: number,
    signal?: cancelSignal.CancelSignal,
  ): Promise<void>;
}

/** The clock of the machine. */
export class SystemClock implements Clock {
  monotonicMs(): number {
    // Cheaper than process.hrtime.bigint(); every call asks some ten times.
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

interface Waiter {
  readonly dueMs: number;
  readonly order: number;
  readonly wake: () => void;
}

/** A clock that only moves when told to; runs product code in virtual time. */
export class ManualClock implements Clock {
  private waiters: Waiter[] = [];
  private nextOrder = 0;
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

  /** Steps the wall clock without moving monotonic time. */
  stepWall(milliseconds: number): void {
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
      const waiter: Waiter = {
        dueMs: this.currentMs + Math.max(0, milliseconds),
        order: this.nextOrder++,
        wake: () => {
          signal?.removeEventListener('abort', abort);
          resolve();
        },
      };
      const abort = () => {
        this.waiters = this.waiters.filter(other => other !== waiter);
        waiter.wake();
      };
      signal?.addEventListener('abort', abort);
      this.waiters.push(waiter);
    });
  }

  /**
   * Moves time forward, waking each due waiter in order of its due time and
   * letting the code that it resumes run before the next one is woken.
   */
  async advance(milliseconds: number): Promise<void> {
    const endMs = this.currentMs + milliseconds;
    await settle();
    for (;;) {
      const next = this.earliestWaiter(endMs);
      if (!next) break;
      this.currentMs = Math.max(this.currentMs, next.dueMs);
      this.waiters = this.waiters.filter(other => other !== next);
      next.wake();
      await settle();
    }
    this.currentMs = endMs;
  }

  private earliestWaiter(endMs: number): Waiter | undefined {
    let earliest: Waiter | undefined;
    for (const waiter of this.waiters) {
      if (waiter.dueMs > endMs) continue;
      if (
        !earliest ||
        waiter.dueMs < earliest.dueMs ||
        (waiter.dueMs === earliest.dueMs && waiter.order < earliest.order)
      ) {
        earliest = waiter;
      }
    }
    return earliest;
  }
}

/** Lets queued promise reactions run before virtual time moves on. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn++) await Promise.resolve();
}
