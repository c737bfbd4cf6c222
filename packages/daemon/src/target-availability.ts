import type * as protocol from '@camphorwharf/protocol';
import type * as healthTask from './health-task.js';

/**
 * Time for which a leaving target still accepts calls, until its senders know.
 * Refusing at once spent the retry ratio of a service: 63 calls within rate
 * were refused in 250 ms. It is well below the bound of 3 s for new work.
 */
const LEAVING_GRACE_MS = 500;

/** Whether the local backend server takes new calls. */
export class TargetAvailability {
  private isDown = false;
  private isStopping = false;
  private leavingSinceMs: number | null = null;

  /** The daemon stops; this cannot be withdrawn. */
  beginLeaving(nowMs: number): void {
    this.isStopping = true;
    this.leavingSinceMs ??= nowMs;
  }

  setHealth(health: healthTask.BackendServerHealth, nowMs: number): void {
    this.isDown = health === 'down';
    if (health === 'leaving') this.leavingSinceMs ??= nowMs;
    else if (!this.isStopping) this.leavingSinceMs = null;
  }

  /** Why a new call is refused; null when it is accepted. */
  closedReason(nowMs: number): protocol.RefusalReasonName | null {
    if (this.isDown) return 'targetUnavailable';
    if (this.leavingSinceMs === null) return null;
    const elapsedMs = nowMs - this.leavingSinceMs;
    return elapsedMs < LEAVING_GRACE_MS ? null : 'targetLeaving';
  }
}
