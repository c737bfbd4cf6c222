import type * as callers from './callers.js';
import type * as callPath from './call-path.js';
import * as deployments from './deployments.js';
import * as fairShare from './fair-share.js';
import type * as request from './request.js';

/** Interval that one point of the time series covers. */
export const SERIES_INTERVAL_MS = 100;

/** Length of the windows in which recovery is checked. */
const RECOVERY_WINDOW_MS = 250;

/** Share of the achievable throughput at which a window counts as recovered. */
const RECOVERED_SHARE = 0.9;

/** Measures by name, with the label and the unit that tables show. */
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

/** Values of the measures; null where a measure does not apply. */
export type Measures = Readonly<Record<MeasureName, number | null>>;

/** Numbers of calls in one interval of the time series. */
export interface SeriesPoint {
  readonly atMs: number;
  offered: number;
  /** Completed calls, counted at their completion. */
  completed: number;
  /** Completed calls, counted at their arrival. */
  completedOfOffered: number;
}

/** Phases of a run: warm-up, cause of the overload, recovery. */
export interface Phases {
  readonly causeStartMs: number;
  readonly causeEndMs: number;
  readonly endMs: number;
  /** Capacity of the bottleneck at an instant, as a share of its normal one. */
  capacityShare(sinceCauseMs: number): number;
}

interface CallCount {
  offered: number;
  completed: number;
}

/** Computes the measures of a run from the outcomes of its requests. */
export class MeasureRecorder {
  readonly series: SeriesPoint[] = [];
  private readonly buckets = new Map<string, {tokens: number; atMs: number}>();
  private readonly countsDuringCause = new Map<string, CallCount>();
  private readonly latencies: number[] = [];
  private withinRateOffered = 0;
  private withinRateIncomplete = 0;
  private requests = 0;

  constructor(
    private readonly path: callPath.CallPath,
    private readonly phases: Phases,
    /** Organisations that send no more than their agreed rate. */
    private readonly compliantOrganisations: ReadonlySet<string>,
  ) {
    for (let atMs = 0; atMs < phases.endMs; atMs += SERIES_INTERVAL_MS) {
      this.series.push({atMs, offered: 0, completed: 0, completedOfOffered: 0});
    }
  }

  record(call: request.Request, outcome: callers.CallerOutcome): void {
    const nowMs = this.path.time.nowMs;
    const completed = outcome === 'completed';
    this.requests++;
    const arrival = this.pointAt(call.arrivedMs);
    if (arrival) arrival.offered++;
    if (completed) {
      if (arrival) arrival.completedOfOffered++;
      const completion = this.pointAt(nowMs);
      if (completion) completion.completed++;
    }
    if (
      call.arrivedMs >= this.phases.causeStartMs &&
      this.compliantOrganisations.has(call.organisation) &&
      this.isWithinRate(call)
    ) {
      this.withinRateOffered++;
      if (!completed) this.withinRateIncomplete++;
    }
    if (!this.isDuringCause(call.arrivedMs)) return;
    const count = this.countOf(call.organisation, call.importance);
    count.offered++;
    if (completed) {
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
        ? (100 * this.withinRateIncomplete) / this.withinRateOffered
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

  /** Completed calls during the cause, in percent of the achievable ones. */
  private goodput(): number {
    let achievable = 0;
    let completed = 0;
    for (const point of this.series) {
      if (!this.isDuringCause(point.atMs)) continue;
      achievable += Math.min(
        this.capacityCalls(point.atMs, SERIES_INTERVAL_MS),
        point.offered,
      );
      completed += point.completed;
    }
    return (100 * completed) / achievable;
  }

  /** Time from the end of the cause to the end of the last failing window. */
  private recoveryMs(): number {
    const {causeEndMs, endMs} = this.phases;
    let recoveredMs = causeEndMs;
    // Calls of the last windows may still be in flight when the run ends.
    const lastWindowMs = endMs - 2 * RECOVERY_WINDOW_MS;
    for (
      let atMs = causeEndMs;
      atMs <= lastWindowMs;
      atMs += RECOVERY_WINDOW_MS
    ) {
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
      if (completed < RECOVERED_SHARE * Math.min(0.95 * capacity, offered)) {
        recoveredMs = atMs + RECOVERY_WINDOW_MS;
      }
    }
    return recoveredMs - causeEndMs;
  }

  /** Lowest share of its fair share that an organisation completed. */
  private worstOrganisation(): number {
    let capacityCalls = 0;
    for (const point of this.series) {
      if (this.isDuringCause(point.atMs)) {
        capacityCalls += this.capacityCalls(point.atMs, SERIES_INTERVAL_MS);
      }
    }
    const {organisations} = this.path.deployment.document;
    const fairShares = fairShare.fairShares(
      organisations.map(organisation => ({
        weight: organisation.ratePerSecond,
        demands: [0, 1, 2, 3].map(
          importance => this.countOf(organisation.name, importance).offered,
        ),
      })),
      capacityCalls,
    );
    const servedShares = organisations.map((organisation, index) => {
      const completed = [0, 1, 2, 3]
        .map(importance => this.countOf(organisation.name, importance))
        .reduce((sum, count) => sum + count.completed, 0);
      return fairShares[index] > 0 ? completed / fairShares[index] : 1;
    });
    return 100 * Math.min(...servedShares);
  }

  /** Largest excess of a class's completion rate over that of the class above. */
  private classInversion(): number {
    const completedShares = [0, 1, 2, 3].map(importance => {
      const sum = {offered: 0, completed: 0};
      for (const {name} of this.path.deployment.document.organisations) {
        const count = this.countOf(name, importance);
        sum.offered += count.offered;
        sum.completed += count.completed;
      }
      return sum.completed / Math.max(1, sum.offered);
    });
    let worst = 0;
    for (let index = 1; index < completedShares.length; index++) {
      worst = Math.max(
        worst,
        completedShares[index] - completedShares[index - 1],
      );
    }
    return 100 * worst;
  }

  private capacityCalls(atMs: number, lengthMs: number): number {
    const {causeStartMs} = this.phases;
    const share = this.phases.capacityShare(atMs + lengthMs / 2 - causeStartMs);
    const normalPerSecond = deployments.bottleneckPerSecond(
      this.path.deployment,
    );
    return (normalPerSecond * share * lengthMs) / 1_000;
  }

  /** Whether an ideal token bucket with the agreed rate admits the call. */
  private isWithinRate(call: request.Request): boolean {
    const organisation = this.path.deployment.document.organisations.find(
      candidate => candidate.name === call.organisation,
    )!;
    const {burst, ratePerSecond} = organisation;
    const bucket = this.buckets.get(call.organisation) ?? {
      tokens: burst,
      atMs: call.arrivedMs,
    };
    // Calls end out of order; the time of the bucket must not go back.
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

  private countOf(organisation: string, importance: number): CallCount {
    const key = `${organisation} ${importance}`;
    let count = this.countsDuringCause.get(key);
    if (!count) {
      count = {offered: 0, completed: 0};
      this.countsDuringCause.set(key, count);
    }
    return count;
  }

  private pointAt(atMs: number): SeriesPoint | undefined {
    return this.series[Math.floor(atMs / SERIES_INTERVAL_MS)];
  }

  private quantile(share: number): number | null {
    if (this.latencies.length === 0) return null;
    const index = Math.floor(share * this.latencies.length);
    return this.latencies[Math.min(index, this.latencies.length - 1)];
  }
}
