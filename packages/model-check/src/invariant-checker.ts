import * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as callClient from './call-client.js';
import * as settings from './settings.js';

/** The caller's clock is ahead by nearly the accepted limit, the worst case. */
const KEY_CLOCK_LEAD_MS = ownership.KEY_FUTURE_LIMIT_MS - 100;

const EPSILON = 1e-6;

/** The owner's clock may run 1% fast, which fills the bucket 1% faster. */
const MAXIMUM_RATE_PER_MS = (settings.LIMITS.ratePerSecond * 1.01) / 1_000;

/** Records the events of a run and the invariants that they violate. */
export class InvariantChecker {
  readonly violations: string[] = [];
  private bucketLevel = 0;
  private bucketLevelMs = 0;
  private readonly keyByRequestId = new Map<string, string>();
  private readonly runsByKey = new Map<string, number>();
  private readonly executedRequestIds = new Set<string>();
  private readonly outcomeByRequestId = new Map<
    string,
    callClient.CallOutcome
  >();
  private readonly keyByNumber = new Map<number, string>();
  private readonly revisionByProcess = new Map<string, number>();

  /** At most one member may act as owner of a shard. */
  checkOwners(shard: string, acting: readonly protocol.MemberIdentity[]): void {
    if (acting.length <= 1) return;
    const names = acting.map(member => ownership.memberKey(member));
    this.violations.push(`${shard} has owners ${names.join(' and ')}`);
  }

  /**
   * Tokens spent in any window are at most rate times window plus burst. This
   * is checked with a leaky bucket: its level exceeds the burst exactly when
   * some window exceeds its limit.
   */
  recordSpending(tokens: number, nowMs: number): void {
    const drained = (nowMs - this.bucketLevelMs) * MAXIMUM_RATE_PER_MS;
    this.bucketLevel = Math.max(0, this.bucketLevel - drained) + tokens;
    this.bucketLevelMs = nowMs;
    if (this.bucketLevel > settings.LIMITS.burst + EPSILON) {
      this.violations.push(
        `a window exceeds its limit by ${this.bucketLevel - settings.LIMITS.burst}`,
      );
    }
  }

  /** Returns the idempotency key with this number; creates it on first use. */
  idempotencyKeyOf(number: number, nowMs: number): string {
    let key = this.keyByNumber.get(number);
    if (!key) {
      const createdMs = settings.WALL_START_MS + nowMs + KEY_CLOCK_LEAD_MS;
      key = `${createdMs}-k${number}`;
      this.keyByNumber.set(number, key);
    }
    return key;
  }

  recordSend(requestId: string, idempotencyKey: string): void {
    this.keyByRequestId.set(requestId, idempotencyKey);
  }

  /** A key runs at most once, and never after it was reported as not run. */
  recordRun(requestId: string): void {
    const key = this.keyByRequestId.get(requestId) ?? '';
    const runs = (this.runsByKey.get(key) ?? 0) + 1;
    this.runsByKey.set(key, runs);
    this.executedRequestIds.add(requestId);
    if (runs > 1) this.violations.push(`${key} ran ${runs} times`);
    if (this.outcomeByRequestId.get(requestId) === 'notRun') {
      this.violations.push(`${requestId} ran after it was reported not run`);
    }
  }

  recordOutcome(requestId: string, outcome: callClient.CallOutcome): void {
    this.outcomeByRequestId.set(requestId, outcome);
    if (outcome === 'notRun' && this.executedRequestIds.has(requestId)) {
      this.violations.push(`${requestId} was reported not run after it ran`);
    }
  }

  /** The revision in force at a process never decreases. */
  checkRevision(process: protocol.MemberIdentity, revision: number): void {
    const key = ownership.memberKey(process);
    const previous = this.revisionByProcess.get(key) ?? 0;
    if (revision < previous) {
      this.violations.push(`${key} went from ${previous} back to ${revision}`);
    }
    this.revisionByProcess.set(key, revision);
  }
}
