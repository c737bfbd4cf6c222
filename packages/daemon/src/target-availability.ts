import type * as protocol from '@camphorwharf/protocol';
import type * as healthTask from './health-task.js';

/**
 * Time for which a leaving target still accepts calls, so that senders learn of
 * its state first. Refusing immediately exhausted the retry ratio of a service:
 * 63 calls within their rate limit were refused in 250 ms. The value is well
 * below the limit of 3 s for accepting new work.
 */
const LEAVING_GRACE_MS = 500;

/** Tracks whether the local backend server accepts new calls. */
export class TargetAvailability {
  private isDown = false;
  private isStopping = false;
  private leavingSinceMs: number | null = null;

  /** Marks the daemon as stopping; this is irreversible. */
  beginStop(nowMs: number): void {
    this.isStopping = true;
    this.leavingSinceMs ??= nowMs;
  }

  setHealth(health: healthTask.BackendServerHealth, nowMs: number): void {
    this.isDown = health === 'down';
    if (health === 'leaving') this.leavingSinceMs ??= nowMs;
    else if (!this.isStopping) this.leavingSinceMs = null;
  }

  /** Returns why a new call is refused; null if it is accepted. */
  refusalReason(nowMs: number): protocol.RefusalReasonName | null {
    if (this.isDown) return 'targetUnavailable';
    if (this.leavingSinceMs === null) return null;
    const elapsedMs = nowMs - this.leavingSinceMs;
    return elapsedMs < LEAVING_GRACE_MS ? null : 'targetLeaving';
  }
}
