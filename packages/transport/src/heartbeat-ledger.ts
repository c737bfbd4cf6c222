import type * as protocol from '@camphorwharf/protocol';

/** 16 s of heartbeats, much longer than any permission lasts. */
const REMEMBERED_HEARTBEATS = 64;

/**
 * Longest permission that a receiver accepts. Takeovers wait for longer than
 * this, so a sender must not be able to extend it.
 */
const MAXIMUM_PERMISSION_MS = 2_000;

/**
 * What one end knows of the heartbeats of a connection, by its own monotonic
 * clock. The hello counts as heartbeat 0.
 */
export class HeartbeatLedger {
  private readonly sentMs = new Array<number>(REMEMBERED_HEARTBEATS);
  private lastSent = 0;
  private acknowledged = 0;
  private lastReceived = 0;
  private lastReceivedMs = 0;
  private lastFrameMs = 0;

  constructor(helloSentMs: number) {
    this.sentMs[0] = helloSentMs;
  }

  onHello(nowMs: number): void {
    this.lastReceivedMs = nowMs;
    this.lastFrameMs = nowMs;
  }

  onFrame(nowMs: number): void {
    this.lastFrameMs = nowMs;
  }

  /** Records that a heartbeat is being sent and returns it. */
  send(nowMs: number): protocol.Heartbeat {
    this.lastSent++;
    this.sentMs[this.lastSent % REMEMBERED_HEARTBEATS] = nowMs;
    return {
      kind: 'heartbeat',
      number: this.lastSent,
      acknowledged: this.lastReceived,
    };
  }

  /** Returns false when the heartbeat is repeated or out of order. */
  receive(heartbeat: protocol.Heartbeat, nowMs: number): boolean {
    if (
      heartbeat.number <= this.lastReceived ||
      heartbeat.acknowledged > this.lastSent
    ) {
      return false;
    }
    this.lastReceived = heartbeat.number;
    this.lastReceivedMs = nowMs;
    this.acknowledged = Math.max(this.acknowledged, heartbeat.acknowledged);
    return true;
  }

  /** The permission for a call that may start within `permissionMs`. */
  permission(nowMs: number, permissionMs: number): protocol.SendPermission {
    return {
      heartbeatNumber: this.lastReceived,
      elapsedMs: Math.max(0, nowMs - this.lastReceivedMs),
      remainingMs: permissionMs,
    };
  }

  /**
   * Whether a permission of the other end still holds. The limit is counted
   * from the sending of the heartbeat, which precedes its arrival at the
   * other end, so the receiver's limit is never later than the sender's.
   */
  inTime(permission: protocol.SendPermission, nowMs: number): boolean {
    const {heartbeatNumber, elapsedMs, remainingMs} = permission;
    if (
      heartbeatNumber > this.lastSent ||
      heartbeatNumber <= this.lastSent - REMEMBERED_HEARTBEATS
    ) {
      return false;
    }
    const sentMs = this.sentMs[heartbeatNumber % REMEMBERED_HEARTBEATS];
    const lifetimeMs = Math.min(remainingMs, MAXIMUM_PERMISSION_MS);
    return nowMs <= sentMs + elapsedMs + lifetimeMs;
  }

  /** Tells which direction is silent for `limitMs` or longer, if any. */
  silent(nowMs: number, limitMs: number): 'input' | 'output' | null {
    if (nowMs - this.lastFrameMs >= limitMs) return 'input';
    if (this.acknowledged >= this.lastSent) return null;
    const oldest = this.sentMs[(this.acknowledged + 1) % REMEMBERED_HEARTBEATS];
    return nowMs - oldest >= limitMs ? 'output' : null;
  }
}
