/**
 * Responses ask clients to close their connections from the start of a stop.
 * After this time all clients have done so and the platform has directed new
 * work elsewhere; until then, new requests are accepted.
 */
const ACCEPTING_MS = 2_600;

/**
 * The same for nested requests. Requests that run when others are refused make
 * most of their nested requests until then.
 */
const NESTED_ACCEPTING_MS = 3_000;

/** The same as a part of a short time limit, so that accepted requests can end. */
const MAXIMUM_ACCEPTING_SHARE = 0.5;

/** Part of the stop time limit that is reserved for closing connections. */
const CLOSE_RESERVE_MS = 700;

/** Time for the response at a deadline to reach its client. */
const RESPONSE_MARGIN_MS = 150;

/**
 * Part of the time limit after which no request may be at work: the reserve and
 * the margin. It may not be longer, so that requests that run long are not cut
 * off early in a short stop.
 */
const MAXIMUM_RESERVED_SHARE = 1 / 6;

/** What decides whether a request may begin during a stop. */
export interface BeginningRequest {
  /** As in `RoutedRequest`. */
  readonly nested: boolean;
  /**
   * Monotonic time by which the request ends in any case, whatever its target
   * does: its own deadline or the timeout of its route.
   */
  readonly deadlineMs: number;
}

/** Decides what a daemon still begins while it stops. */
export class StopSchedule {
  private startedMs: number | null = null;

  /** Time from the signal until all connections close. */
  private readonly durationMs: number;

  /** `limitMs` is the time from the stop signal until the process is killed. */
  constructor(private readonly limitMs: number) {
    const maximumReserveMs =
      limitMs * MAXIMUM_RESERVED_SHARE - RESPONSE_MARGIN_MS;
    this.durationMs =
      limitMs - Math.max(0, Math.min(CLOSE_RESERVE_MS, maximumReserveMs));
  }

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
      : this.startedMs + this.durationMs;
  }

  /** Monotonic time from which requests of clients and peers are refused. */
  get refuseFromMs(): number {
    return this.afterStart(ACCEPTING_MS);
  }

  /**
   * Whether work for a request may begin. Nested requests complete the requests
   * that still run, so they may begin later than others, but not to be cut off:
   * they must end before the stop in any case. What requests of the route have
   * taken so far does not tell how long the next one takes.
   */
  mayBegin({deadlineMs, nested}: BeginningRequest, nowMs: number): boolean {
    if (nowMs < this.refuseFromMs) return true;
    if (!nested) return false;
    return (
      nowMs < this.afterStart(NESTED_ACCEPTING_MS) ||
      deadlineMs <= this.answerByMs
    );
  }

  /**
   * Time in which a request must be answered so that its response leaves before
   * the connections close, in milliseconds.
   */
  remainingMs(nowMs: number): number {
    return Math.max(0, this.answerByMs - nowMs);
  }

  /** Monotonic time of a phase of the stop. */
  private afterStart(milliseconds: number): number {
    return this.startedMs === null
      ? Infinity
      : this.startedMs +
          Math.min(milliseconds, this.limitMs * MAXIMUM_ACCEPTING_SHARE);
  }

  /**
   * Monotonic time of a deadline whose response still leaves before the
   * connections close.
   */
  private get answerByMs(): number {
    return this.endMs - RESPONSE_MARGIN_MS;
  }
}
