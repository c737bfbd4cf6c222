import type * as runtime from '@camphorwharf/runtime';
import * as members from './fleet-members.js';
import * as organisationLimit from './organisation-limit.js';
import * as useReport from './use-report.js';

export type {LimitPreview, LimitSettings} from './organisation-limit.js';

export type LimitVerdict =
  | {readonly kind: 'granted'}
  | {readonly kind: 'refused'; readonly retryAfterMs: number};

/**
 * Every this many reports are complete, so that a report that is lost with its
 * connection is made up for.
 */
const REPORTS_PER_COMPLETE_REPORT = 16;

/** Limits that are kept after their removal; beyond it the oldest is dropped. */
const MAXIMUM_REMOVED_LIMITS = 1_000;

/** Minimum age of a process whose bucket levels are adopted. */
const MINIMUM_ADOPTION_AGE_MS = 3_000;

/**
 * Rate limits of all organisations on one host of packages/host-daemon. The use
 * over the fleet is the sum of the reports of all hosts, so there is no owner
 * to locate or to fail over. The counterpart in packages/daemon, `LimitClient`,
 * obtains tokens from an owner.
 */
export class FleetRateLimits {
  private readonly limits = new Map<
    string,
    organisationLimit.OrganisationLimit
  >();
  /**
   * Limits of organisations that were removed. An organisation may return, and
   * what it has used still counts then.
   */
  private readonly removedLimits = new Map<
    string,
    organisationLimit.OrganisationLimit
  >();
  private readonly reporters = new Map<string, useReport.Reporter>();
  private hasAdoptedLevels = false;
  private reportCount = 0;

  constructor(
    private readonly fleet: members.FleetMembers,
    private readonly startedMs: number,
    private readonly random: runtime.RandomSource,
  ) {}

  configure(
    settings: readonly organisationLimit.LimitSettings[],
    nowMs: number,
  ): void {
    const configured = new Set<string>();
    for (const limitSettings of settings) {
      if (limitSettings.ratePerSecond <= 0) continue;
      configured.add(limitSettings.name);
      const limit = this.limits.get(limitSettings.name);
      if (limit) limit.configure(limitSettings);
      else this.add(limitSettings, nowMs);
    }
    for (const name of this.limits.keys()) {
      if (!configured.has(name)) this.remove(name);
    }
  }

  private add(settings: organisationLimit.LimitSettings, nowMs: number): void {
    const {name} = settings;
    const removed = this.removedLimits.get(name);
    this.removedLimits.delete(name);
    removed?.configure(settings);
    const limit =
      removed ??
      new organisationLimit.OrganisationLimit(settings, this.random, nowMs);
    this.limits.set(name, limit);
  }

  private remove(name: string): void {
    const limit = this.limits.get(name);
    if (!limit) return;
    this.limits.delete(name);
    this.removedLimits.set(name, limit);
    if (this.removedLimits.size <= MAXIMUM_REMOVED_LIMITS) return;
    const [oldest] = this.removedLimits.keys();
    this.removedLimits.delete(oldest);
  }

  tryTake(organisation: string, nowMs: number): LimitVerdict {
    const limit = this.limits.get(organisation);
    if (!limit) return {kind: 'granted'};
    const granted = limit.bucket.take(
      this.fleet.reportingShare(nowMs),
      1 / this.fleet.count,
      nowMs,
    );
    if (!granted) {
      return {kind: 'refused', retryAfterMs: limit.bucket.retryAfterMs()};
    }
    limit.used++;
    return {kind: 'granted'};
  }

  /**
   * Returns the limit of an organisation and what a request would find now,
   * without counting it; null without a limit.
   */
  preview(
    organisation: string,
    nowMs: number,
  ): organisationLimit.LimitPreview | null {
    const {fleet} = this;
    const share = fleet.currentReportingShare(nowMs);
    const limit = this.limits.get(organisation);
    return limit?.preview(share, 1 / fleet.count, nowMs) ?? null;
  }

  /** Refunds a request that was granted and will not be run. */
  refund(organisation: string): void {
    const limit = this.limits.get(organisation);
    if (!limit) return;
    limit.used--;
    limit.bucket.refund();
  }

  /**
   * Whether the tokens of any limit are scarce, so that hosts should report
   * more often.
   */
  get isScarce(): boolean {
    for (const {bucket} of this.limits.values()) {
      if (bucket.isScarce) return true;
    }
    return false;
  }

  /** Returns the next report that this process sends to all other hosts. */
  nextReport(nowMs: number): useReport.UsesReport {
    const isComplete = this.reportCount++ % REPORTS_PER_COMPLETE_REPORT === 0;
    const uses = this.currentUses(nowMs, isComplete);
    for (const use of uses) {
      this.limits.get(use.organisation)?.noteReported(use);
    }
    return {uses, isComplete};
  }

  /** Returns a report for a host that may have received none before. */
  completeReport(nowMs: number): useReport.UsesReport {
    return {uses: this.currentUses(nowMs, true), isComplete: true};
  }

  private currentUses(
    nowMs: number,
    isComplete: boolean,
  ): useReport.UseReport[] {
    const reports: useReport.UseReport[] = [];
    for (const limit of this.limits.values()) {
      this.advance(limit, nowMs);
      const report = limit.useReport(isComplete);
      if (report) reports.push(report);
    }
    return reports;
  }

  /** Applies a report of another host's process. */
  applyReport(
    host: string,
    incarnation: string,
    ageMs: number,
    report: useReport.UsesReport,
    nowMs: number,
  ): void {
    const wasSilent = this.fleet.isSilent(host, nowMs);
    this.fleet.noteReport(host, nowMs);
    let reporter = this.reporters.get(host);
    const isNew = !reporter || reporter.incarnation !== incarnation;
    if (!reporter || isNew) {
      if (reporter) this.subtractDemand(reporter);
      reporter = {
        incarnation,
        uses: new Map(),
        hasReportedAll: false,
        silentSinceMs: null,
      };
      this.reporters.set(host, reporter);
    }
    const silentMs =
      wasSilent && reporter.silentSinceMs !== null
        ? nowMs - reporter.silentSinceMs
        : 0;
    reporter.silentSinceMs = null;
    for (const use of report.uses) {
      this.applyUse(reporter, use, isNew, ageMs, silentMs, nowMs);
    }
    reporter.hasReportedAll ||= report.isComplete;
    this.adoptLevels(ageMs, report.uses, nowMs);
  }

  /** Detects hosts that have become silent; called about once per second. */
  tick(nowMs: number): void {
    this.fleet.removeSilentUnlisted(nowMs);
    for (const [host, reporter] of this.reporters) {
      // A host that has left the fleet has no further use. Its counts are kept,
      // so that its use is not debited twice if it returns.
      if (this.fleet.isMember(host)) {
        if (!this.fleet.isSilent(host, nowMs)) continue;
        if (reporter.silentSinceMs !== null) continue;
        reporter.silentSinceMs = nowMs;
      }
      for (const [organisation, use] of reporter.uses) {
        const limit = this.limits.get(organisation);
        if (limit) {
          this.advance(limit, nowMs);
          limit.updateEstimatedUse(use);
        }
        use.demand = 0;
      }
    }
    this.recomputeOthersDemand();
  }

  private advance(
    limit: organisationLimit.OrganisationLimit,
    nowMs: number,
  ): void {
    limit.bucket.advance(
      this.fleet.reportingShare(nowMs),
      1 / this.fleet.count,
      nowMs,
    );
  }

  private applyUse(
    reporter: useReport.Reporter,
    report: useReport.UseReport,
    isNew: boolean,
    ageMs: number,
    silentMs: number,
    nowMs: number,
  ): void {
    const limit = this.limits.get(report.organisation);
    let previous = reporter.uses.get(report.organisation);
    if (!previous && reporter.hasReportedAll) {
      // The organisation is used by this process for the first time.
      previous = useReport.unusedUntil(limit?.bucket.servedTime ?? 0);
      reporter.uses.set(report.organisation, previous);
    }
    if (!previous) {
      reporter.uses.set(report.organisation, {
        used: report.used,
        demand: report.demand,
        servedTime: limit?.bucket.servedTime ?? 0,
        estimatedUse: 0,
      });
      // The initial level of this process already includes the use of processes
      // that are older than it.
      const isYounger = ageMs < nowMs - this.startedMs;
      limit?.bucket.adjustOthersDemand(report.demand);
      if (isNew && isYounger && limit) limit.bucket.debit(report.used);
      return;
    }
    if (limit) {
      this.advance(limit, nowMs);
      limit.updateEstimatedUse(previous);
      previous.estimatedUse +=
        (limit.settings.ratePerSecond * silentMs) / 1_000 / this.fleet.count;
      limit.bucket.debit(report.used - previous.used - previous.estimatedUse);
    }
    previous.estimatedUse = 0;
    previous.used = report.used;
    limit?.bucket.adjustOthersDemand(report.demand - previous.demand);
    previous.demand = report.demand;
  }

  /** Adopts bucket levels from an older process after this one has started. */
  private adoptLevels(
    ageMs: number,
    reports: readonly useReport.UseReport[],
    nowMs: number,
  ): void {
    if (this.hasAdoptedLevels) return;
    if (nowMs - this.startedMs >= MINIMUM_ADOPTION_AGE_MS) {
      this.hasAdoptedLevels = true;
      return;
    }
    if (ageMs < MINIMUM_ADOPTION_AGE_MS) return;
    this.hasAdoptedLevels = true;
    for (const report of reports) {
      this.limits.get(report.organisation)?.bucket.adoptLevel(report.level);
    }
  }

  /** Removes the demand of an earlier process of a host. */
  private subtractDemand(reporter: useReport.Reporter): void {
    for (const [organisation, use] of reporter.uses) {
      this.limits.get(organisation)?.bucket.adjustOthersDemand(-use.demand);
    }
  }

  /** Recomputes the sums, which also removes accumulated rounding errors. */
  private recomputeOthersDemand(): void {
    const demands = new Map<string, number>();
    for (const reporter of this.reporters.values()) {
      for (const [organisation, use] of reporter.uses) {
        demands.set(
          organisation,
          (demands.get(organisation) ?? 0) + use.demand,
        );
      }
    }
    for (const [organisation, limit] of this.limits) {
      limit.bucket.setOthersDemand(demands.get(organisation) ?? 0);
    }
  }
}
