import type * as protocol from '@camphorwharf/protocol';

/**
 * 16 s of heartbeats at the default interval; permissions expire much sooner.
 */
const TRACKED_HEARTBEATS = 64;

/**
 * Longest permission that a receiver accepts. A takeover waits for longer than
 * this, so a sender must not be able to extend a permission.
 */
const MAXIMUM_PERMISSION_MS = 2_000;

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

  constructor(helloSentAtMs: number) {
    this.sentAtMs[0] = helloSentAtMs;
  }

  recordHello(nowMs: number): void {
    this.lastReceivedAtMs = nowMs;
    this.lastFrameAtMs = nowMs;
  }

  recordFrame(nowMs: number): void {
    this.lastFrameAtMs = nowMs;
  }

  /** Returns the next heartbeat and records its send time. */
  nextHeartbeat(nowMs: number): protocol.Heartbeat {
    this.lastSent++;
    this.sentAtMs[this.lastSent % TRACKED_HEARTBEATS] = nowMs;
    return {
      kind: 'heartbeat',
      number: this.lastSent,
      acknowledged: this.lastReceived,
    };
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
    this.lastReceivedAtMs = nowMs;
    this.acknowledged = Math.max(this.acknowledged, heartbeat.acknowledged);
    return true;
  }

  /** Creates the permission for a call that may start within `permissionMs`. */
  createPermission(
    nowMs: number,
    permissionMs: number,
  ): protocol.SendPermission {
    return {
      heartbeatNumber: this.lastReceived,
      elapsedMs: Math.max(0, nowMs - this.lastReceivedAtMs),
      remainingMs: permissionMs,
    };
  }

  /**
   * Whether a permission from the remote end has not expired. The expiry time
   * is computed from the time at which this end sent the heartbeat. The remote
   * end received it later, so the receiver's expiry is never after the
   * sender's.
   */
  isValid(permission: protocol.SendPermission, nowMs: number): boolean {
    const {heartbeatNumber, elapsedMs, remainingMs} = permission;
    if (
      heartbeatNumber > this.lastSent ||
      heartbeatNumber <= this.lastSent - TRACKED_HEARTBEATS
    ) {
      return false;
    }
    const sentAtMs = this.sentAtMs[heartbeatNumber % TRACKED_HEARTBEATS];
    const validForMs = Math.min(remainingMs, MAXIMUM_PERMISSION_MS);
    return nowMs <= sentAtMs + elapsedMs + validForMs;
  }

  /**
   * Returns the direction that has been silent for at least `limitMs`, or null.
   * Input is silent without frames, output without acknowledged heartbeats.
   */
  silent(nowMs: number, limitMs: number): 'input' | 'output' | null {
    if (nowMs - this.lastFrameAtMs >= limitMs) return 'input';
    if (this.acknowledged >= this.lastSent) return null;
    const oldestSentAtMs =
      this.sentAtMs[(this.acknowledged + 1) % TRACKED_HEARTBEATS];
    return nowMs - oldestSentAtMs >= limitMs ? 'output' : null;
  }
}
