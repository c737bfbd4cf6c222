import type * as routing from '@camphorwharf/routing';
import * as runTimes from './run-times.js';

/**
 * Responses ask clients to close their connections from the start of a stop.
 * After this time all clients have done so and the platform has directed new
 * work elsewhere; until then, new requests are accepted.
 */
const ACCEPTING_MS = 2_600;

/** Part of the stop time limit that is reserved for closing connections. */
const CLOSE_RESERVE_MS = 700;

/**
 * Time before the end of a stop from which nested requests are refused as well.
 * Until then they complete the requests that are still running, if their
 * expected time is left.
 */
const NESTED_RESERVE_MS = 600;

/** Time for the response at a deadline to reach its client. */
const RESPONSE_MARGIN_MS = 150;

/** Decides what a daemon still begins while it stops. */
export class StopSchedule {
  private startedMs: number | null = null;
  /** Times of the requests that this host has answered. */
  readonly runTimes = new runTimes.RunTimes();

  /** `limitMs` is the time from the stop signal until the process is killed. */
  constructor(private readonly limitMs: number) {}

  begin(nowMs: number): void {
    this.startedMs ??= nowMs;
  }

  get stopping(): boolean {
    return this.startedMs !== null;
  }

  /** Monotonic time at which all connections close. */
  get endMs(): number {
    return this.startedMs === null
      ? Infinity
      : this.startedMs + this.limitMs - CLOSE_RESERVE_MS;
  }

  /** Monotonic time from which requests of clients and peers are refused. */
  get refuseFromMs(): number {
    return this.startedMs === null
      ? Infinity
      : Math.min(this.startedMs + ACCEPTING_MS, this.endMs);
  }

  /** Whether work for this request may begin. */
  mayBeginRequest(
    request: {readonly nested: boolean; readonly route: routing.Route},
    nowMs: number,
  ): boolean {
    const {nested, route} = request;
    return this.mayBegin(nested, nowMs, this.runTimes.expectedMs(route));
  }

  /**
   * Whether work for a request may begin that takes `expectedMs`; `nested` as
   * in `RoutedRequest`.
   */
  mayBegin(nested: boolean, nowMs: number, expectedMs = 0): boolean {
    if (nowMs < this.refuseFromMs) return true;
    return (
      nested &&
      nowMs < this.endMs - NESTED_RESERVE_MS &&
      expectedMs <= this.remainingMs(nowMs)
    );
  }

  /**
   * Time in which a request must be answered so that its response leaves before
   * the connections close, in milliseconds.
   */
  remainingMs(nowMs: number): number {
    return Math.max(0, this.endMs - RESPONSE_MARGIN_MS - nowMs);
  }
}
