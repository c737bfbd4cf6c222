import type * as runtime from '@camphorwharf/runtime';
import * as sharedBucket from './shared-bucket.js';
import * as useReport from './use-report.js';

export interface LimitSettings {
  readonly name: string;
  /** 0 means that the organisation has no limit. */
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** A limit and what a request would find. */
export interface LimitPreview extends sharedBucket.BucketPreview {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Rate limit of one organisation, and its use by this process. */
export class OrganisationLimit {
  readonly bucket: sharedBucket.SharedBucket;
  used = 0;
  /** Use and demand in the last report that was sent. */
  private reportedUse = 0;
  private reportedDemand = 0;

  constructor(
    private currentSettings: LimitSettings,
    random: runtime.RandomSource,
    nowMs: number,
  ) {
    const {burst, ratePerSecond} = currentSettings;
    this.bucket = new sharedBucket.SharedBucket(
      ratePerSecond,
      burst,
      random,
      nowMs,
    );
  }

  get settings(): LimitSettings {
    return this.currentSettings;
  }

  configure(settings: LimitSettings): void {
    this.currentSettings = settings;
    this.bucket.reconfigure(settings.ratePerSecond, settings.burst);
  }

  /** Returns what a request would find now, without counting it. */
  preview(
    reportingShare: number,
    equalShare: number,
    nowMs: number,
  ): LimitPreview {
    const {burst, ratePerSecond} = this.currentSettings;
    const bucket = this.bucket.preview(reportingShare, equalShare, nowMs);
    return {ratePerSecond, burst, ...bucket};
  }

  /**
   * Returns the use to report, or null if there is none. The bucket must have
   * been advanced to the present.
   */
  useReport(isComplete: boolean): useReport.UseReport | null {
    const demand = useReport.reportableDemand(this.bucket.demand);
    // The others estimate the use from the reported demand until a report
    // corrects it; without a correction they would overestimate it for ever.
    const isActive =
      this.used !== this.reportedUse ||
      demand !== 0 ||
      this.reportedDemand !== 0;
    if (!isActive && !(isComplete && this.used !== 0)) return null;
    return {
      organisation: this.currentSettings.name,
      used: this.used,
      demand,
      level: Math.round(this.bucket.tokens),
    };
  }

  noteReported(use: useReport.UseReport): void {
    this.reportedUse = use.used;
    this.reportedDemand = use.demand;
  }

  /**
   * Updates the estimated use of a host since its last report. The bucket must
   * have been advanced to the present.
   */
  updateEstimatedUse(use: useReport.ReportedUse): void {
    const {servedTime} = this.bucket;
    // The served time is shorter if the limit was removed, dropped and added.
    const served = Math.max(0, servedTime - use.servedTime);
    use.estimatedUse += use.demand * served;
    use.servedTime = servedTime;
  }
}
