import type * as protocol from '@camphorwharf/protocol';
import * as activations from './activations.js';

/**
 * Whether this member went from acting under its former views to the adopted
 * one without a gap (V4).
 */
export class Continuity {
  private former: readonly activations.Tenure[] = [];
  private formerLeaseEndMs = -Infinity;
  private state: 'open' | 'kept' | 'broken' = 'broken';

  get isKept(): boolean {
    return this.state === 'kept';
  }

  /** Starts a new view that follows `former`, acted under until `untilMs`. */
  follow(former: readonly activations.Tenure[], untilMs: number): void {
    this.former = former;
    this.formerLeaseEndMs = untilMs;
    this.state = former.length > 0 ? 'open' : 'broken';
  }

  /**
   * Decides once contact under the adopted view is complete. Continuity ends
   * when that is too late, or when a view that this member did not act under
   * could have been acted under by others.
   */
  check(
    others: readonly protocol.View[],
    inContact: boolean,
    nowMs: number,
  ): void {
    if (this.state === 'broken') return;
    if (!activations.coversAll(this.former, others)) {
      this.state = 'broken';
    } else if (this.state === 'open') {
      if (nowMs >= this.formerLeaseEndMs) this.state = 'broken';
      else if (inContact) this.state = 'kept';
    }
  }

  /** The tenures up to and including the adopted view. */
  tenures(
    view: protocol.View,
    activatedMs: number | null,
  ): readonly activations.Tenure[] {
    const former = this.state === 'kept' ? this.former : [];
    return activations.extend(former, {view, activatedMs});
  }
}
