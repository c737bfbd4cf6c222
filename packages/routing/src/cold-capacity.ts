import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as directory from './backend-server-directory.js';

/** Calls that a sender may send at once to a cold server after a pause. */
const MAXIMUM_TOKENS = 1.5;

/** Factor of the sender's share after a call that ended with none waiting. */
const SHARE_GROWTH = 1.1;

interface ColdTarget {
  /** End of the cold time that the target's daemon reported last. */
  reportedUntilMs: number;
  /** End of the cold time in the entry at the time of that report. */
  reportedWithEntryMs: number;
  /** End of the cold time in the newest entry; NaN if it is not known. */
  entryUntilMs: number;
  /** Whether the target was cold when it was last considered. */
  isCold: boolean;
  isExhausted: boolean;
  tokens: number;
  updatedMs: number;
  /** Multiple of an equal part of the server's rate. */
  share: number;
}

export interface ColdCapacityOptions {
  readonly random: runtime.RandomSource;
  /** Number of senders that share the rate of a cold server. */
  readonly senderCount: () => number;
  /**
   * Requests per second that a cold server of the service tolerates; null if
   * the service has no cold limit.
   */
  readonly perSecond: (service: string) => number | null;
}

/**
 * This sender's part of the rate that cold targets tolerate. Senders do not know
 * of each other's calls, so that each begins with an equal part of the rate, at
 * a random phase, and increases it while the target has no calls waiting, since
 * often only some hosts send to a service. Waiting calls end the increase.
 */
export class ColdCapacity {
  private readonly targets = new Map<string, ColdTarget>();

  constructor(private readonly options: ColdCapacityOptions) {}

  /**
   * Returns the end of a target's cold time from its entry and the last report
   * of its daemon. A report is valid until the entry is renewed; afterwards the
   * later end counts, since either may be late.
   */
  coldUntilMs(instance: string, entryUntilMs: number): number {
    const target = this.targets.get(instance);
    if (!target) return entryUntilMs;
    target.entryUntilMs = entryUntilMs;
    return target.reportedWithEntryMs === entryUntilMs
      ? target.reportedUntilMs
      : Math.max(entryUntilMs, target.reportedUntilMs);
  }

  /**
   * Whether a target, cold until `coldUntilMs`, gets no further call of this
   * sender at present.
   */
  isExhausted(
    server: directory.BackendServer,
    coldUntilMs: number,
    nowMs: number,
  ): boolean {
    // Most targets are warm; the settings are not looked up for these.
    const perSecond =
      nowMs >= coldUntilMs ? null : this.options.perSecond(server.service);
    if (perSecond === null) {
      const target = this.targets.get(server.instance);
      if (target) target.isCold = target.isExhausted = false;
      return false;
    }
    const target = this.targetOf(server.instance);
    // Nothing was reported of a new target, so its entry has set the end.
    if (Number.isNaN(target.entryUntilMs)) target.entryUntilMs = coldUntilMs;
    if (!target.isCold) {
      target.isCold = true;
      target.tokens = this.options.random.next();
      target.updatedMs = nowMs;
      target.share = 1;
    }
    this.refill(target, perSecond, nowMs);
    target.isExhausted = target.tokens < 1;
    return target.isExhausted;
  }

  /** The last result of `isExhausted`. */
  wasExhausted(instance: string): boolean {
    return this.targets.get(instance)?.isExhausted ?? false;
  }

  /** Records a call to a target. */
  noteStart(instance: string): void {
    const target = this.targets.get(instance);
    if (target) target.tokens = Math.max(0, target.tokens - 1);
  }

  /** Records the end of a call and the load that the target's daemon reports. */
  noteEnd(
    instance: string,
    isRefused: boolean,
    load: protocol.ReportedLoad | undefined,
    nowMs: number,
  ): void {
    if (!load) return;
    const remainingMs = load.coldRemainingMs ?? 0;
    // Most targets are warm, and nothing is kept for them.
    if (remainingMs <= 0 && !this.targets.has(instance)) return;
    const target = this.targetOf(instance);
    target.reportedUntilMs = nowMs + remainingMs;
    target.reportedWithEntryMs = target.entryUntilMs;
    if (remainingMs <= 0) return;
    if (isRefused || load.waiting > 0) {
      target.share = 1;
      return;
    }
    const maximum = Math.max(1, this.options.senderCount());
    target.share = Math.min(maximum, target.share * SHARE_GROWTH);
  }

  /** Returns a copy, which shares no state and uses another generator. */
  copy(random: runtime.RandomSource): ColdCapacity {
    const copy = new ColdCapacity({...this.options, random});
    for (const [instance, target] of this.targets) {
      copy.targets.set(instance, {...target});
    }
    return copy;
  }

  /** Removes targets that are no longer listed. */
  retain(isListed: (instance: string) => boolean): void {
    for (const instance of this.targets.keys()) {
      if (!isListed(instance)) this.targets.delete(instance);
    }
  }

  private refill(target: ColdTarget, perSecond: number, nowMs: number): void {
    const senders = Math.max(1, this.options.senderCount());
    const rate = (perSecond * Math.min(target.share, senders)) / senders;
    const elapsedMs = Math.max(0, nowMs - target.updatedMs);
    target.updatedMs = nowMs;
    target.tokens = Math.min(
      MAXIMUM_TOKENS,
      target.tokens + (elapsedMs * rate) / 1_000,
    );
  }

  private targetOf(instance: string): ColdTarget {
    let target = this.targets.get(instance);
    if (!target) {
      target = {
        reportedUntilMs: -Infinity,
        reportedWithEntryMs: NaN,
        entryUntilMs: NaN,
        isCold: false,
        isExhausted: false,
        tokens: 0,
        updatedMs: 0,
        share: 1,
      };
      this.targets.set(instance, target);
    }
    return target;
  }
}
