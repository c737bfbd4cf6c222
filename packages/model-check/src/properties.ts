import * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as callClient from './call-client.js';
import * as settings from './settings.js';

const EPSILON = 1e-6;

/** Drift of 1% lets a bucket fill faster by as much on its owner's clock. */
const RATE_PER_MS = (settings.LIMITS.ratePerSecond * 1.01) / 1_000;

/** Records what happened and which invariants it violates. */
export class Properties {
  readonly violations: string[] = [];
  private bucketLevel = 0;
  private bucketLevelMs = 0;
  private readonly keyOfSend = new Map<string, string>();
  private readonly runsOfKey = new Map<string, number>();
  private readonly ranSends = new Set<string>();
  private readonly outcomes = new Map<string, callClient.CallOutcome>();
  private readonly keys = new Map<number, string>();
  private readonly revisions = new Map<string, number>();

  /** At most one member may act as owner of a shard. */
  owners(shard: string, acting: readonly protocol.MemberIdentity[]): void {
    if (acting.length <= 1) return;
    const names = acting.map(member => ownership.memberKey(member));
    this.violations.push(`${shard} has owners ${names.join(' and ')}`);
  }

  /**
   * Tokens spent in any window are at most rate times window plus burst. A
   * level that drains at the rate and rises with each token exceeds the burst
   * exactly when some window does.
   */
  spent(tokens: number, nowMs: number): void {
    const drained = (nowMs - this.bucketLevelMs) * RATE_PER_MS;
    this.bucketLevel = Math.max(0, this.bucketLevel - drained) + tokens;
    this.bucketLevelMs = nowMs;
    if (this.bucketLevel > settings.LIMITS.burst + EPSILON) {
      this.violations.push(
        `a window exceeds its limit by ${this.bucketLevel - settings.LIMITS.burst}`,
      );
    }
  }

  /** Returns the text of a key, created when it is first used. */
  keyOf(number: number, nowMs: number): string {
    let key = this.keys.get(number);
    if (!key) {
      // The caller's clock is ahead by nearly as much as is accepted.
      const createdMs = settings.WALL_START_MS + nowMs + 4_500;
      key = `${createdMs}-k${number}`;
      this.keys.set(number, key);
    }
    return key;
  }

  sent(requestId: string, idempotencyKey: string): void {
    this.keyOfSend.set(requestId, idempotencyKey);
  }

  /** Executions per key are at most one, and "not run" is true. */
  ran(requestId: string): void {
    const key = this.keyOfSend.get(requestId) ?? '';
    const runs = (this.runsOfKey.get(key) ?? 0) + 1;
    this.runsOfKey.set(key, runs);
    this.ranSends.add(requestId);
    if (runs > 1) this.violations.push(`${key} ran ${runs} times`);
    if (this.outcomes.get(requestId) === 'notRun') {
      this.violations.push(`${requestId} ran after it was reported not run`);
    }
  }

  outcome(requestId: string, outcome: callClient.CallOutcome): void {
    this.outcomes.set(requestId, outcome);
    if (outcome === 'notRun' && this.ranSends.has(requestId)) {
      this.violations.push(`${requestId} was reported not run after it ran`);
    }
  }

  /** The revision in force at a process never decreases. */
  revision(process: protocol.MemberIdentity, revision: number): void {
    const key = ownership.memberKey(process);
    const former = this.revisions.get(key) ?? 0;
    if (revision < former) {
      this.violations.push(`${key} went from ${former} back to ${revision}`);
    }
    this.revisions.set(key, revision);
  }
}
