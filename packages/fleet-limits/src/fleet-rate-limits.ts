import * as members from './fleet-members.js';
import * as sharedBucket from './shared-bucket.js';

export interface LimitSettings {
  readonly name: string;
  /** 0 means that the organisation has no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
}

export type LimitVerdict =
  | {readonly kind: 'granted'}
  | {readonly kind: 'refused'; readonly retryAfterMs: number};

/** What one process says of its use of one organisation's limit. */
export interface UseReport {
  readonly organisation: string;
  /** Requests granted since the process started. */
  readonly used: number;
  /** Requests asked for, per second. */
  readonly demand: number;
  /** Tokens in the sender's copy of the bucket. */
  readonly level: number;
}

interface Limit {
  readonly bucket: sharedBucket.SharedBucket;
  settings: LimitSettings;
  used: number;
}

interface ReporterUse {
  used: number;
  demand: number;
  /** The bucket's served time when the use was last reported. */
  servedTime: number;
  /** What was already debited on the assumption that the host used it. */
  presumed: number;
}

interface Reporter {
  readonly incarnation: string;
  readonly uses: Map<string, ReporterUse>;
  /** Since when the host was silent and counted with an equal part. */
  silentSinceMs: number | null;
}

/** A copy of the bucket is taken over from processes of at least this age. */
const SETTLED_AGE_MS = 3_000;

/**
 * The limits of all organisations at this host. The use over the fleet is
 * the sum of what each host reports; there is no owner to find or to lose.
 */
export class FleetRateLimits {
  private readonly limits = new Map<string, Limit>();
  private readonly reporters = new Map<string, Reporter>();
  private adopted = false;

  constructor(
    private readonly fleet: members.FleetMembers,
    private readonly startedMs: number,
  ) {}

  configure(settings: readonly LimitSettings[], nowMs: number): void {
    const kept = new Set<string>();
    for (const one of settings) {
      if (one.ratePerSecond <= 0) continue;
      kept.add(one.name);
      const limit = this.limits.get(one.name);
      if (limit) {
        limit.settings = one;
        limit.bucket.reconfigure(one.ratePerSecond, one.burst);
        continue;
      }
      this.limits.set(one.name, {
        bucket: new sharedBucket.SharedBucket(
          one.ratePerSecond,
          one.burst,
          nowMs,
        ),
        settings: one,
        used: 0,
      });
    }
    for (const name of this.limits.keys()) {
      if (!kept.has(name)) this.limits.delete(name);
    }
  }

  take(organisation: string, nowMs: number): LimitVerdict {
    const limit = this.limits.get(organisation);
    if (!limit) return {kind: 'granted'};
    const granted = limit.bucket.take(
      this.fleet.heardShare(nowMs),
      1 / this.fleet.count,
      nowMs,
    );
    if (!granted) {
      return {kind: 'refused', retryAfterMs: limit.bucket.retryAfterMs()};
    }
    limit.used++;
    return {kind: 'granted'};
  }

  /** For a request that was granted and will never run. */
  giveBack(organisation: string): void {
    const limit = this.limits.get(organisation);
    if (!limit) return;
    limit.used--;
    limit.bucket.giveBack();
  }

  /** Whether any limit is so far used that reports should come often. */
  get isScarce(): boolean {
    for (const {bucket} of this.limits.values()) {
      if (bucket.isScarce) return true;
    }
    return false;
  }

  /** What this process tells the other hosts. */
  report(nowMs: number): UseReport[] {
    const reports: UseReport[] = [];
    for (const [organisation, limit] of this.limits) {
      this.advance(limit, nowMs);
      reports.push({
        organisation,
        used: limit.used,
        demand: Math.round(limit.bucket.demand * 100) / 100,
        level: Math.round(limit.bucket.tokens),
      });
    }
    return reports;
  }

  /** Takes in the report of another host's process. */
  learn(
    host: string,
    incarnation: string,
    ageMs: number,
    reports: readonly UseReport[],
    nowMs: number,
  ): void {
    const wasSilent = this.fleet.isSilent(host, nowMs);
    this.fleet.noteHeard(host, nowMs);
    let reporter = this.reporters.get(host);
    const isNew = !reporter || reporter.incarnation !== incarnation;
    if (!reporter || isNew) {
      if (reporter) this.withdrawDemand(reporter);
      reporter = {incarnation, uses: new Map(), silentSinceMs: null};
      this.reporters.set(host, reporter);
    }
    const silentMs =
      wasSilent && reporter.silentSinceMs !== null
        ? nowMs - reporter.silentSinceMs
        : 0;
    reporter.silentSinceMs = null;
    for (const report of reports) {
      this.learnOne(reporter, report, isNew, ageMs, silentMs, nowMs);
    }
    this.adoptLevels(ageMs, reports, nowMs);
  }

  /** Notes which hosts have fallen silent; called about once a second. */
  tick(nowMs: number): void {
    for (const [host, reporter] of this.reporters) {
      // A host that has left the list uses nothing more. Its counts stay, so
      // that its use is not debited again if it returns.
      if (this.fleet.isListed(host)) {
        if (!this.fleet.isSilent(host, nowMs)) continue;
        if (reporter.silentSinceMs !== null) continue;
        reporter.silentSinceMs = nowMs;
      }
      for (const [organisation, use] of reporter.uses) {
        const limit = this.limits.get(organisation);
        if (limit) this.presume(limit, use, nowMs);
        use.demand = 0;
      }
    }
    this.sumDemands();
  }

  /** Books what a host is taken to have used since its last report. */
  private presume(limit: Limit, use: ReporterUse, nowMs: number): void {
    this.advance(limit, nowMs);
    const {servedTime} = limit.bucket;
    // A limit that was removed and came back counts anew.
    const served = Math.max(0, servedTime - use.servedTime);
    use.presumed += use.demand * served;
    use.servedTime = servedTime;
  }

  private advance(limit: Limit, nowMs: number): void {
    limit.bucket.advance(
      this.fleet.heardShare(nowMs),
      1 / this.fleet.count,
      nowMs,
    );
  }

  private learnOne(
    reporter: Reporter,
    report: UseReport,
    isNew: boolean,
    ageMs: number,
    silentMs: number,
    nowMs: number,
  ): void {
    const limit = this.limits.get(report.organisation);
    const known = reporter.uses.get(report.organisation);
    if (!known) {
      reporter.uses.set(report.organisation, {
        used: report.used,
        demand: report.demand,
        servedTime: limit?.bucket.servedTime ?? 0,
        presumed: 0,
      });
      // The use of a process that is older than this one is in the level that
      // this one has started from.
      const isYounger = ageMs < nowMs - this.startedMs;
      limit?.bucket.addOthersDemand(report.demand);
      if (isNew && isYounger && limit) limit.bucket.debit(report.used);
      return;
    }
    if (limit) {
      this.presume(limit, known, nowMs);
      known.presumed +=
        (limit.settings.ratePerSecond * silentMs) / 1_000 / this.fleet.count;
      limit.bucket.debit(report.used - known.used - known.presumed);
    }
    known.presumed = 0;
    known.used = report.used;
    limit?.bucket.addOthersDemand(report.demand - known.demand);
    known.demand = report.demand;
  }

  /** A young process starts from what the others have counted. */
  private adoptLevels(
    ageMs: number,
    reports: readonly UseReport[],
    nowMs: number,
  ): void {
    if (this.adopted) return;
    if (nowMs - this.startedMs >= SETTLED_AGE_MS) {
      this.adopted = true;
      return;
    }
    if (ageMs < SETTLED_AGE_MS) return;
    this.adopted = true;
    for (const report of reports) {
      this.limits.get(report.organisation)?.bucket.adoptLevel(report.level);
    }
  }

  /** An earlier process of a host asks for nothing more. */
  private withdrawDemand(reporter: Reporter): void {
    for (const [organisation, use] of reporter.uses) {
      this.limits.get(organisation)?.bucket.addOthersDemand(-use.demand);
    }
  }

  /** Sums anew, which also removes the rounding errors of single changes. */
  private sumDemands(): void {
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
