import * as protocol from '@camphorwharf/protocol';

/**
 * 16 s of heartbeats at the default interval; permissions expire much sooner.
 */
const TRACKED_HEARTBEATS = 64;

/**
 * Minimum time between two readings of the clock in heartbeats. Each takes 13
 * bytes, and a daemon with 32 peers spends 27 KB/s on control at most.
 */
const CLOCK_READING_INTERVAL_MS = 1_000;

/**
 * Part of the idle interval after which a heartbeat is due, as the timer that
 * checks it may fire early.
 */
const IDLE_INTERVAL_TOLERANCE = 0.9;

/** Intervals of the remote end without a frame that an idle connection bears. */
const IDLE_SILENCE_INTERVALS = 2.2;

/**
 * Heartbeats sent and received by one end of a connection, timed with its own
 * monotonic clock. The hello counts as heartbeat 0. A call carries a permission
 * to start it, which expires at a time relative to a heartbeat of the receiver,
 * so that the two clocks need not be synchronized.
 */
export class HeartbeatState {
  private readonly sentAtMs = new Array<number>(TRACKED_HEARTBEATS);
  private lastSent = 0;
  private acknowledged = 0;
  private lastReceived = 0;
  private lastReceivedAtMs = 0;
  private lastFrameAtMs = 0;
  /** Time between the last two heartbeats of the remote end. */
  private remoteIntervalMs = 0;
  /** The last reading of its clock that the remote end has sent. */
  private remoteClockMs: number | undefined;
  private lastReadingSentAtMs: number;
  private lastSentAtMs: number;
  /** Time since which calls are in flight; null without any. */
  private busySinceMs: number | null = null;

  constructor(helloSentAtMs: number) {
    this.sentAtMs[0] = helloSentAtMs;
    this.lastSentAtMs = helloSentAtMs;
    this.lastReadingSentAtMs = helloSentAtMs;
  }

  /**
   * Records whether calls are in flight. A connection without any may be
   * silent for longer, so that heartbeats of a large fleet cost little.
   */
  recordBusy(isBusy: boolean, nowMs: number): void {
    if (isBusy) this.busySinceMs ??= nowMs;
    else this.busySinceMs = null;
  }

  /** Whether the next heartbeat is due; always while calls are in flight. */
  isDue(nowMs: number, idleIntervalMs: number): boolean {
    if (this.busySinceMs !== null) return true;
    return (
      nowMs - this.lastSentAtMs >= idleIntervalMs * IDLE_INTERVAL_TOLERANCE
    );
  }

  /** See `protocol.Heartbeat.clockMs`; undefined with an older remote end. */
  get lastRemoteClockMs(): number | undefined {
    return this.remoteClockMs;
  }

  recordHello(hello: Pick<protocol.Hello, 'clockMs'>, nowMs: number): void {
    this.lastReceivedAtMs = nowMs;
    this.lastFrameAtMs = nowMs;
    this.remoteClockMs = hello.clockMs;
  }

  recordFrame(nowMs: number): void {
    this.lastFrameAtMs = nowMs;
  }

  /** Returns the next heartbeat and records its send time. */
  nextHeartbeat(nowMs: number): protocol.Heartbeat {
    this.lastSent++;
    this.sentAtMs[this.lastSent % TRACKED_HEARTBEATS] = nowMs;
    this.lastSentAtMs = nowMs;
    const heartbeat = {
      kind: 'heartbeat',
      number: this.lastSent,
      acknowledged: this.lastReceived,
    } as const;
    if (nowMs - this.lastReadingSentAtMs < CLOCK_READING_INTERVAL_MS) {
      return heartbeat;
    }
    this.lastReadingSentAtMs = nowMs;
    return {...heartbeat, clockMs: clockReading(nowMs)};
  }

  /** Returns false when the heartbeat is a duplicate or out of order. */
  receive(heartbeat: protocol.Heartbeat, nowMs: number): boolean {
    if (
      heartbeat.number <= this.lastReceived ||
      heartbeat.acknowledged > this.lastSent
    ) {
      return false;
    }
    this.lastReceived = heartbeat.number;
    this.remoteIntervalMs = nowMs - this.lastReceivedAtMs;
    this.lastReceivedAtMs = nowMs;
    this.remoteClockMs = heartbeat.clockMs ?? this.remoteClockMs;
    this.acknowledged = Math.max(this.acknowledged, heartbeat.acknowledged);
    return true;
  }

  /**
   * Creates the permission for a call that is sent now and may start within
   * `permissionMs`.
   */
  createPermission(
    nowMs: number,
    permissionMs: number,
  ): protocol.SendPermission {
    this.recordBusy(true, nowMs);
    return {
      heartbeatNumber: this.lastReceived,
      elapsedMs: Math.max(0, nowMs - this.lastReceivedAtMs),
      remainingMs: permissionMs,
    };
  }

  /**
   * Whether the permission of a call from the remote end has not expired. The
   * expiry time is computed from the time at which this end sent the heartbeat.
   * The remote end received it later, so the receiver's expiry is not after the
   * sender's. A sender can't extend it: `elapsedMs` also counts the time for
   * which only the clock of this end stood still, and takeovers and tombstones
   * wait for no longer than these limits.
   */
  isValid(permission: protocol.SendPermission, nowMs: number): boolean {
    const {heartbeatNumber, elapsedMs, remainingMs} = permission;
    this.recordBusy(true, nowMs);
    if (
      heartbeatNumber > this.lastSent ||
      heartbeatNumber <= this.lastSent - TRACKED_HEARTBEATS
    ) {
      return false;
    }
    const sentAtMs = this.sentAtMs[heartbeatNumber % TRACKED_HEARTBEATS];
    const ageMs = Math.min(elapsedMs, protocol.PERMISSION_HEARTBEAT_AGE_MS);
    const validForMs = Math.min(remainingMs, protocol.PERMISSION_LIFETIME_MS);
    return nowMs <= sentAtMs + ageMs + validForMs;
  }

  /**
   * Returns the direction that has been silent for at least `limitMs`, or null.
   * Input is silent without frames, output without acknowledged heartbeats.
   * Without calls in flight, the heartbeats of the remote end may be further
   * apart, and the limit grows with them; a call makes both ends send at their
   * shorter interval again.
   */
  silent(nowMs: number, limitMs: number): 'input' | 'output' | null {
    const busySinceMs = this.busySinceMs ?? -Infinity;
    const allowedMs =
      this.busySinceMs === null
        ? Math.max(limitMs, this.remoteIntervalMs * IDLE_SILENCE_INTERVALS)
        : limitMs;
    const isSilentSince = (sinceMs: number) =>
      nowMs - Math.max(sinceMs, busySinceMs) >= allowedMs;
    if (isSilentSince(this.lastFrameAtMs)) return 'input';
    if (this.acknowledged >= this.lastSent) return null;
    const oldestSentAtMs =
      this.sentAtMs[(this.acknowledged + 1) % TRACKED_HEARTBEATS];
    return isSilentSince(oldestSentAtMs) ? 'output' : null;
  }
}

/** Rounded down, so that it is never after the instant that it stands for. */
export function clockReading(nowMs: number): number {
  return Math.floor(nowMs);
}
