import type * as protocol from '@camphorwharf/protocol';
import * as activations from './activations.js';

/**
 * Tracks whether this member stayed active without a gap from its former views
 * to the adopted one (rule V4).
 */
export class Continuity {
  private formerActivations: readonly activations.Activation[] = [];
  private formerLeaseEndMs = -Infinity;
  private state: 'open' | 'kept' | 'broken' = 'broken';

  get isContinuous(): boolean {
    return this.state === 'kept';
  }

  /** Begins a view; the former views were active until at most `untilMs`. */
  beginView(
    formerActivations: readonly activations.Activation[],
    untilMs: number,
  ): void {
    this.formerActivations = formerActivations;
    this.formerLeaseEndMs = untilMs;
    this.state = formerActivations.length > 0 ? 'open' : 'broken';
  }

  /**
   * Decides on continuity once a majority answers under the adopted view.
   * Continuity is broken when that happens after the former lease has ended, or
   * when others may be active under a view under which this member was not.
   */
  evaluate(
    otherViews: readonly protocol.View[],
    hasContact: boolean,
    nowMs: number,
  ): void {
    if (this.state === 'broken') return;
    if (!activations.coverAll(this.formerActivations, otherViews)) {
      this.state = 'broken';
    } else if (this.state === 'open') {
      if (nowMs >= this.formerLeaseEndMs) this.state = 'broken';
      else if (hasContact) this.state = 'kept';
    }
  }

  /** The gapless activations up to and including the adopted view. */
  activations(
    view: protocol.View,
    activatedMs: number | null,
  ): readonly activations.Activation[] {
    const formerActivations =
      this.state === 'kept' ? this.formerActivations : [];
    return activations.append(formerActivations, {view, activatedMs});
  }
}
