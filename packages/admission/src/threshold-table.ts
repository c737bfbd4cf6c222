import type * as protocol from '@camphorwharf/protocol';
import type * as interfaces from './interfaces.js';
import * as shareThreshold from './share-threshold.js';

/** A threshold that is not renewed ends after this time (design 4.2). */
const LIFETIME_MS = 1_000;

/** One per target at the largest fleet size, with room for replacements. */
const MAXIMUM_TARGETS = 16_384;

interface Entry {
  readonly threshold: shareThreshold.ShareThreshold;
  readonly untilMs: number;
}

/** The thresholds that targets sent back, at the sender. */
export class Thresholds implements interfaces.ThresholdTable {
  /** In the order of the last renewal, so the first entry ends first. */
  private readonly entries = new Map<string, Entry>();

  learn(
    target: string,
    threshold: protocol.SheddingThreshold | null,
    nowMs: number,
  ): void {
    this.entries.delete(target);
    if (!threshold) return;
    this.entries.set(target, {threshold, untilMs: nowMs + LIFETIME_MS});
    for (const [name, entry] of this.entries) {
      if (this.entries.size <= MAXIMUM_TARGETS && entry.untilMs > nowMs) break;
      this.entries.delete(name);
    }
  }

  passes(
    target: string,
    call: shareThreshold.ShareCall,
    nowMs: number,
  ): boolean {
    const entry = this.entries.get(target);
    if (!entry || entry.untilMs <= nowMs) return true;
    return shareThreshold.passesShareThreshold(call, entry.threshold);
  }

  get size(): number {
    return this.entries.size;
  }
}
