import type * as protocol from '@camphorwharf/protocol';
import type * as directory from './backend-server-directory.js';
import * as serverSpeed from './server-speed.js';

/** Outcome of an attempt, as seen by its sender. */
export type TargetOutcome =
  /**
   * A complete response that does not indicate a failure of the backend server.
   */
  | 'succeeded'
  /** An error, an invalid response or a lost connection. */
  | 'failed'
  /** Refused without having been run. */
  | 'refused'
  /** Aborted by the sender; says nothing about the target. */
  | 'cancelled';

/** What the sender of a request knows about its work. */
export interface RequestWork {
  /** Expected slot-time of the request at a server of usual speed. */
  readonly workMs: number;
  /** The same, averaged over all requests of the service. */
  readonly averageMs: number;
}

/**
 * Smoothing factor of the failure rate. A single failure costs less than
 * another availability zone.
 */
const FAILURE_RATE_SMOOTHING = 0.02;

/** Half-life of the failure rate without outcomes, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 3_000;

/** Lifetime of a load report, in milliseconds. */
const LOAD_REPORT_LIFETIME_MS = 1_000;

/**
 * Half-life of the difference between the reported number of calls and the
 * average. Calls of other senders start and end within about this time, so that
 * an older report says little more than the average. With 85 senders, the
 * queues at 0.85 of the capacity were half as long as with reports that were
 * taken as they are for a second.
 */
const REPORT_HALF_LIFE_MS = 100;

/**
 * Weight of a report in the average number of calls; more after a long time
 * without one.
 */
const AVERAGE_SMOOTHING = 0.1;
const AVERAGE_TIME_CONSTANT_MS = 5_000;

/**
 * Lifetime of the average after the last report, and its half-life afterwards.
 * With a lifetime of one second, targets of other zones, which rarely report,
 * seemed idle while all were overloaded.
 */
const AVERAGE_LIFETIME_MS = 5_000;
const AVERAGE_HALF_LIFE_MS = 2_000;

/**
 * The part of the slots that the daemon of a target uses, as in its admission
 * control.
 */
const USED_SLOT_SHARE = 0.95;

/**
 * Shares of poor outcomes up to this one are by chance: at servers that are
 * well, of which 5 of 100 calls are late, the shares deviate by about 0.06.
 */
export const POOR_SHARE_MARGIN = 0.2;

/** Lifetime of a share of poor outcomes, and its half-life afterwards. */
const POOR_SHARE_LIFETIME_MS = 1_500;
const POOR_SHARE_HALF_LIFE_MS = 1_000;

/** What a sender knows about one target. */
export class TargetState {
  readonly speed = new serverSpeed.ServerSpeed();
  unreachableUntilMs = -Infinity;
  leaving = false;
  private inFlight = 0;
  private reportedCalls = 0;
  /** Moving average of the reported calls. */
  private averageCalls = 0;
  private queuedWorkMs = 0;
  private reportedBusyShare = 0;
  private reportedAtMs = -Infinity;
  private sentSinceReport = 0;
  private failureRate = 0;
  private failureUpdatedMs = 0;
  private reportedPoorShare = 0;
  private poorReportedAtMs = 0;

  get ownInFlight(): number {
    return this.inFlight;
  }

  noteStart(): void {
    this.inFlight++;
    this.sentSinceReport++;
  }

  noteEnd(
    outcome: TargetOutcome,
    load: protocol.ReportedLoad | undefined,
    nowMs: number,
  ): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
    if (load) {
      this.noteCalls(load.running + load.waiting, nowMs);
      this.queuedWorkMs = load.queuedWorkMs ?? 0;
      this.reportedBusyShare = load.busyShare ?? 0;
      this.reportedAtMs = nowMs;
      this.sentSinceReport = 0;
      this.notePoorShare(load.poorShare ?? 0, nowMs);
      this.speed.noteReported((load.speed ?? 100) / 100, nowMs);
    }
    switch (outcome) {
      case 'succeeded':
        this.updateFailureRate(0, nowMs);
        return;
      case 'failed':
        // A daemon that reports failures has counted this one.
        if (!this.isPoor(nowMs)) this.updateFailureRate(1, nowMs);
        return;
      case 'refused':
      case 'cancelled':
        return;
    }
  }

  /** Estimated number of calls that run or wait at the target. */
  calls(nowMs: number): number {
    const ageMs = nowMs - this.reportedAtMs;
    if (ageMs === Infinity) return this.inFlight;
    const weight = 0.5 ** (ageMs / REPORT_HALF_LIFE_MS);
    const averageCalls = this.averageNow(ageMs);
    const expected =
      averageCalls + weight * (this.reportedCalls - averageCalls);
    return Math.max(expected + this.sentSinceReport, this.inFlight);
  }

  /**
   * Expected wait of a call that is sent now, in milliseconds. `calls` is the
   * present value of `calls`.
   */
  waitMs(
    server: directory.BackendServer,
    calls: number,
    averageMs: number,
    nowMs: number,
  ): number {
    const capacity = slotCapacity(server);
    const excess = calls + 1 - capacity;
    if (excess <= 0) return 0;
    const speed = this.speed.current(nowMs);
    const reportedExcess = this.reportedCalls + 1 - capacity;
    const callMs =
      this.queuedWorkMs > 0 && reportedExcess > 0
        ? this.queuedWorkMs / reportedExcess
        : averageMs;
    return (excess * callMs) / (capacity * speed);
  }

  /** Event loop utilisation of the daemon; 0 if it is not known. */
  busyShare(nowMs: number): number {
    return this.isFresh(nowMs) ? this.reportedBusyShare : 0;
  }

  /** Share of the attempts that failed recently. */
  failures(nowMs: number): number {
    if (this.failureRate === 0) return 0;
    const elapsedMs = Math.max(0, nowMs - this.failureUpdatedMs);
    return this.failureRate * 0.5 ** (elapsedMs / FAILURE_HALF_LIFE_MS);
  }

  /** Records the share of poor outcomes that the target's daemon reports. */
  notePoorShare(share: number, nowMs: number): void {
    this.reportedPoorShare = Math.min(1, share);
    this.poorReportedAtMs = nowMs;
  }

  /** Share of the recent calls of all senders that ended poorly. */
  poorShare(nowMs: number): number {
    if (this.reportedPoorShare === 0) return 0;
    const silentMs = nowMs - this.poorReportedAtMs - POOR_SHARE_LIFETIME_MS;
    return silentMs <= 0
      ? this.reportedPoorShare
      : this.reportedPoorShare * 0.5 ** (silentMs / POOR_SHARE_HALF_LIFE_MS);
  }

  /** Whether the share of poor outcomes is more than chance. */
  isPoor(nowMs: number): boolean {
    return this.poorShare(nowMs) > POOR_SHARE_MARGIN;
  }

  private isFresh(nowMs: number): boolean {
    return nowMs - this.reportedAtMs < LOAD_REPORT_LIFETIME_MS;
  }

  private noteCalls(calls: number, nowMs: number): void {
    const ageMs = Math.max(0, nowMs - this.reportedAtMs);
    const averageCalls = this.averageNow(ageMs);
    const smoothing = Math.max(
      AVERAGE_SMOOTHING,
      ageMs / (ageMs + AVERAGE_TIME_CONSTANT_MS),
    );
    this.averageCalls =
      ageMs === Infinity
        ? calls
        : averageCalls + smoothing * (calls - averageCalls);
    this.reportedCalls = calls;
  }

  /** A target without reports is assumed to become idle, so that it is tried. */
  private averageNow(ageMs: number): number {
    const silentMs = ageMs - AVERAGE_LIFETIME_MS;
    return silentMs <= 0
      ? this.averageCalls
      : this.averageCalls * 0.5 ** (silentMs / AVERAGE_HALF_LIFE_MS);
  }

  private updateFailureRate(failure: number, nowMs: number): void {
    const rate = this.failures(nowMs);
    this.failureRate = rate + FAILURE_RATE_SMOOTHING * (failure - rate);
    this.failureUpdatedMs = nowMs;
  }
}

/** Number of calls that the daemon of a target runs at the same time. */
export function slotCapacity(server: directory.BackendServer): number {
  return Math.max(1, Math.ceil(server.slots * USED_SLOT_SHARE) - 1);
}
