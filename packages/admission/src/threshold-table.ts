import type * as protocol from '@camphorwharf/protocol';
import type * as interfaces from './interfaces.js';
import * as shareThreshold from './share-threshold.js';

/**
 * A threshold expires if it is not renewed within this time (design section
 * 4.2).
 */
const LIFETIME_MS = 1_000;

/**
 * One entry per target at the maximum fleet size, with room for replacements.
 */
const MAXIMUM_TARGETS = 16_384;

interface Entry {
  readonly threshold: shareThreshold.ShareThreshold;
  readonly expiryMs: number;
}

/** Shedding thresholds that a sender received from targets. */
export class SheddingThresholdTable implements interfaces.ThresholdTable {
  /** Ordered by last renewal, so the first entry expires first. */
  private readonly entries = new Map<string, Entry>();

  update(
    target: string,
    threshold: protocol.SheddingThreshold | null,
    nowMs: number,
  ): void {
    this.entries.delete(target);
    if (!threshold) return;
    this.entries.set(target, {threshold, expiryMs: nowMs + LIFETIME_MS});
    for (const [name, entry] of this.entries) {
      if (this.entries.size <= MAXIMUM_TARGETS && entry.expiryMs > nowMs) break;
      this.entries.delete(name);
    }
  }

  passes(
    target: string,
    call: shareThreshold.ShareCall,
    nowMs: number,
  ): boolean {
    const entry = this.entries.get(target);
    if (!entry || entry.expiryMs <= nowMs) return true;
    return shareThreshold.passesShareThreshold(call, entry.threshold);
  }

  get size(): number {
    return this.entries.size;
  }
}
