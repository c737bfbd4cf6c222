import * as hdrHistogram from 'hdr-histogram-js';

/** Outcome of an exchange for the client. */
export interface LoadOutcome {
  readonly kind:
    | 'completed'
    | 'notRun'
    | 'unknown'
    /** The response of the backend server has an error status. */
    | 'failed'
    | 'transportError'
    /** The response is truncated or belongs to another request. */
    | 'wrongAnswer';
  readonly reason: string;
}

/** Result of one exchange. */
export interface LoadSample {
  readonly organisation: string;
  readonly importance: number;
  readonly service: string;
  readonly outcome: LoadOutcome;
  readonly latencyMs: number;
  /** Null for idempotent requests. */
  readonly idempotencyKey: string | null;
  /** False for retries by the client. */
  readonly first: boolean;
}

/** Latency quantiles of completed exchanges, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly maximum: number;
}

type Counts = Record<string, number>;

/** Counts and latencies of a load run. */
export class LoadResults {
  elapsedMs = 0;
  /** Arrivals that were not sent because of `maximumInFlight`. */
  notSent = 0;
  /** Number of exchanges by outcome and reason, such as `notRun/overloaded`. */
  readonly outcomes: Counts = {};
  readonly perOrganisation: Record<string, Counts> = {};
  readonly perImportance: Record<string, Counts> = {};
  readonly perService: Record<string, Counts> = {};
  private readonly histogram = hdrHistogram.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 3,
  });

  record(sample: LoadSample): void {
    const {outcome} = sample;
    const outcomeName =
      outcome.kind === 'completed'
        ? outcome.kind
        : `${outcome.kind}/${outcome.reason}`;
    increment(this.outcomes, outcomeName);
    for (const [countsByKey, key] of [
      [this.perOrganisation, sample.organisation],
      [this.perImportance, String(sample.importance)],
      [this.perService, sample.service],
    ] as const) {
      const counts = (countsByKey[key] ??= {});
      increment(counts, outcomeName);
      increment(counts, sample.first ? 'requests' : 'repeats');
    }
    if (outcome.kind === 'completed') {
      // In microseconds, because the histogram holds integers.
      this.histogram.recordValue(
        Math.max(1, Math.round(sample.latencyMs * 1_000)),
      );
    }
  }

  /** Returns the number of exchanges with this kind of outcome. */
  count(kind: LoadOutcome['kind']): number {
    return Object.entries(this.outcomes)
      .filter(([name]) => name === kind || name.startsWith(`${kind}/`))
      .reduce((sum, [, count]) => sum + count, 0);
  }

  latency(): LatencySummary {
    const quantileMs = (percentile: number) =>
      this.histogram.getValueAtPercentile(percentile) / 1_000;
    return {
      count: this.histogram.totalCount,
      p50: quantileMs(50),
      p99: quantileMs(99),
      p999: quantileMs(99.9),
      maximum: this.histogram.maxValue / 1_000,
    };
  }
}

function increment(counts: Counts, name: string): void {
  counts[name] = (counts[name] ?? 0) + 1;
}
