import type * as callers from './callers.js';
import type * as callPath from './call-path.js';
import * as deployments from './deployments.js';
import * as fairPart from './fair-part.js';
import type * as request from './request.js';

/** Length of one point of the time series. */
export const SERIES_MS = 100;

/** Length of the windows that decide whether the chain has recovered. */
const RECOVERY_WINDOW_MS = 250;

/** Part of the wanted throughput that a recovered window reaches. */
const RECOVERED_PART = 0.9;

/** What is measured, with its label and unit. */
export const MEASURES = {
  goodput: {label: 'goodput', unit: '%'},
  recoveryMs: {label: 'recovery time', unit: 'ms'},
  worstOrganisation: {label: 'worst organisation of its fair part', unit: '%'},
  refusedWithinRate: {label: 'refused within rate', unit: '%'},
  classInversion: {label: 'less important class served more', unit: '%'},
  duplicateRuns: {label: 'duplicate runs', unit: ''},
  mostAttempts: {label: 'attempts per request, most', unit: ''},
  meanAttempts: {label: 'attempts per request, mean', unit: ''},
  medianMs: {label: 'latency p50', unit: 'ms'},
  p99Ms: {label: 'latency p99', unit: 'ms'},
  lastStartMs: {label: 'last start after leaving', unit: 'ms'},
} as const;
export type MeasureName = keyof typeof MEASURES;

/** Null where a measure does not apply. */
export type Measures = Readonly<Record<MeasureName, number | null>>;

/** Calls of one point of the time series. */
export interface SeriesPoint {
  readonly atMs: number;
  offered: number;
  /** Counted at the instant of completion. */
  completed: number;
  /** Counted at the arrival of the call. */
  completedOfOffered: number;
}

/** The phases of one run. */
export interface Phases {
  readonly causeStartMs: number;
  readonly causeEndMs: number;
  readonly endMs: number;
  /** Capacity of the bottleneck at an instant, over its normal one. */
  capacityPart(sinceCauseMs: number): number;
}

interface ClassCount {
  offered: number;
  completed: number;
}

/** Counts what the callers of one run see. */
export class Recorder {
  readonly series: SeriesPoint[] = [];
  private readonly buckets = new Map<string, {tokens: number; atMs: number}>();
  private readonly causeCounts = new Map<string, ClassCount>();
  private readonly latencies: number[] = [];
  private withinRate = 0;
  private withinRateLost = 0;
  private requests = 0;

  constructor(
    private readonly path: callPath.CallPath,
    private readonly phases: Phases,
    /** Organisations that send no more than their agreed rate. */
    private readonly modest: ReadonlySet<string>,
  ) {
    for (let atMs = 0; atMs < phases.endMs; atMs += SERIES_MS) {
      this.series.push({atMs, offered: 0, completed: 0, completedOfOffered: 0});
    }
  }

  record(call: request.Request, ending: callers.Ending): void {
    const nowMs = this.path.time.nowMs;
    const done = ending === 'completed';
    this.requests++;
    const arrival = this.point(call.arrivedMs);
    if (arrival) arrival.offered++;
    if (done) {
      if (arrival) arrival.completedOfOffered++;
      const completion = this.point(nowMs);
      if (completion) completion.completed++;
    }
    if (
      call.arrivedMs >= this.phases.causeStartMs &&
      this.modest.has(call.organisation) &&
      this.isWithinRate(call)
    ) {
      this.withinRate++;
      if (!done) this.withinRateLost++;
    }
    if (!this.isDuringCause(call.arrivedMs)) return;
    const count = this.countOf(call.organisation, call.importance);
    count.offered++;
    if (done) {
      count.completed++;
      this.latencies.push(nowMs - call.arrivedMs);
    }
  }

  measures(applies: {
    readonly withinRate: boolean;
    readonly classes: boolean;
    readonly leaving: callPath.Target | null;
    readonly leftMs: number;
  }): Measures {
    this.latencies.sort((first, second) => first - second);
    const {path} = this;
    return {
      goodput: this.goodput(),
      recoveryMs: this.recoveryMs(),
      worstOrganisation: this.worstOrganisation(),
      refusedWithinRate: applies.withinRate
        ? (100 * this.withinRateLost) / this.withinRate
        : null,
      classInversion: applies.classes ? this.classInversion() : null,
      duplicateRuns: path.duplicateRuns,
      mostAttempts: 1 + path.mostRetries,
      meanAttempts: 1 + path.retries / this.requests,
      medianMs: this.quantile(0.5),
      p99Ms: this.quantile(0.99),
      lastStartMs: applies.leaving
        ? Math.max(0, applies.leaving.lastStartMs - applies.leftMs)
        : null,
    };
  }

  private goodput(): number {
    let wanted = 0;
    let completed = 0;
    for (const point of this.series) {
      if (!this.isDuringCause(point.atMs)) continue;
      wanted += Math.min(
        this.capacityCalls(point.atMs, SERIES_MS),
        point.offered,
      );
      completed += point.completed;
    }
    return (100 * completed) / wanted;
  }

  /** From the end of the cause to the end of the last window that missed. */
  private recoveryMs(): number {
    const {causeEndMs, endMs} = this.phases;
    let recoveredMs = causeEndMs;
    // The last windows hold calls that the run ended too early to complete.
    const lastMs = endMs - 2 * RECOVERY_WINDOW_MS;
    for (let atMs = causeEndMs; atMs <= lastMs; atMs += RECOVERY_WINDOW_MS) {
      let offered = 0;
      let completed = 0;
      for (const point of this.series) {
        if (point.atMs < atMs || point.atMs >= atMs + RECOVERY_WINDOW_MS) {
          continue;
        }
        offered += point.offered;
        completed += point.completedOfOffered;
      }
      const capacity = this.capacityCalls(atMs, RECOVERY_WINDOW_MS);
      if (completed < RECOVERED_PART * Math.min(0.95 * capacity, offered)) {
        recoveredMs = atMs + RECOVERY_WINDOW_MS;
      }
    }
    return recoveredMs - causeEndMs;
  }

  private worstOrganisation(): number {
    let capacity = 0;
    for (const point of this.series) {
      if (this.isDuringCause(point.atMs)) {
        capacity += this.capacityCalls(point.atMs, SERIES_MS);
      }
    }
    const {organisations} = this.path.deployment.document;
    const fair = fairPart.fairParts(
      organisations.map(organisation => ({
        weight: organisation.ratePerSecond,
        demands: [0, 1, 2, 3].map(
          importance => this.countOf(organisation.name, importance).offered,
        ),
      })),
      capacity,
    );
    const parts = organisations.map((organisation, index) => {
      const completed = [0, 1, 2, 3]
        .map(importance => this.countOf(organisation.name, importance))
        .reduce((sum, count) => sum + count.completed, 0);
      return fair[index] > 0 ? completed / fair[index] : 1;
    });
    return 100 * Math.min(...parts);
  }

  /** Most by which a class was served better than a more important one. */
  private classInversion(): number {
    const served = [0, 1, 2, 3].map(importance => {
      const sum = {offered: 0, completed: 0};
      for (const {name} of this.path.deployment.document.organisations) {
        const count = this.countOf(name, importance);
        sum.offered += count.offered;
        sum.completed += count.completed;
      }
      return sum.completed / Math.max(1, sum.offered);
    });
    let worst = 0;
    for (let index = 1; index < served.length; index++) {
      worst = Math.max(worst, served[index] - served[index - 1]);
    }
    return 100 * worst;
  }

  private capacityCalls(atMs: number, lengthMs: number): number {
    const {causeStartMs} = this.phases;
    const part = this.phases.capacityPart(atMs + lengthMs / 2 - causeStartMs);
    const normal = deployments.bottleneckPerSecond(this.path.deployment);
    return (normal * part * lengthMs) / 1_000;
  }

  /** An ideal token bucket of the organisation's agreed rate and burst. */
  private isWithinRate(call: request.Request): boolean {
    const organisation = this.path.deployment.document.organisations.find(
      one => one.name === call.organisation,
    )!;
    const {burst, ratePerSecond} = organisation;
    const bucket = this.buckets.get(call.organisation) ?? {
      tokens: burst,
      atMs: call.arrivedMs,
    };
    // Endings arrive out of order; a call never makes the bucket older.
    const atMs = Math.max(bucket.atMs, call.arrivedMs);
    const tokens = Math.min(
      burst,
      bucket.tokens + ((atMs - bucket.atMs) / 1_000) * ratePerSecond,
    );
    const within = tokens >= 1;
    this.buckets.set(call.organisation, {
      tokens: within ? tokens - 1 : tokens,
      atMs,
    });
    return within;
  }

  private isDuringCause(atMs: number): boolean {
    return atMs >= this.phases.causeStartMs && atMs < this.phases.causeEndMs;
  }

  private countOf(organisation: string, importance: number): ClassCount {
    const key = `${organisation} ${importance}`;
    let count = this.causeCounts.get(key);
    if (!count) {
      count = {offered: 0, completed: 0};
      this.causeCounts.set(key, count);
    }
    return count;
  }

  private point(atMs: number): SeriesPoint | undefined {
    return this.series[Math.floor(atMs / SERIES_MS)];
  }

  private quantile(part: number): number | null {
    if (this.latencies.length === 0) return null;
    const index = Math.floor(part * this.latencies.length);
    return this.latencies[Math.min(index, this.latencies.length - 1)];
  }
}
