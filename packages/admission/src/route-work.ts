/** At this number all are forgotten: routes may come and go for a long time. */
const MAXIMUM_ROUTES = 4_096;

/**
 * The weight of the samples of a route is halved when it reaches this number,
 * so that the estimate follows a change of the requests. One request in 100
 * costs 5 to 7 times the mean; fewer samples would make the mean follow chance.
 */
const MAXIMUM_WEIGHT = 400;

/** Half-life of the weight of earlier samples without new ones. */
const IDLE_HALF_LIFE_MS = 30_000;

/** Weight of a new sample in the average over all routes. */
const AVERAGE_SMOOTHING = 0.02;

/** Buckets per doubling of the work; the first one ends at 1 ms. */
const BUCKETS_PER_DOUBLING = 2;
const BUCKET_COUNT = 40;

/** Work longer than this is not credible and is ignored. */
const MAXIMUM_WORK_MS = 3_600_000;

/** Range of credible speeds, relative to the usual one. */
export const MINIMUM_SPEED = 0.05;
export const MAXIMUM_SPEED = 20;

/**
 * Expected remaining work of a request that has run for longer than any seen
 * before, relative to the work done so far. With heavy tails a long run is more
 * likely to continue than to end.
 */
const TAIL_SHARE = 0.5;

/** Weights and sums of the samples of one route. */
interface RouteSamples {
  weight: number;
  sumMs: number;
  squaresMs: number;
  lastMs: number;
  readonly weights: Float64Array;
  readonly sums: Float64Array;
}

/**
 * Learns the work of requests by route: the time for which a request occupies a
 * slot of a server of usual speed, with its distribution.
 */
export class RouteWork {
  private readonly routes = new Map<string, RouteSamples>();
  private overallMs: number | null = null;
  private rejected = 0;

  /** Number of samples that were ignored because they are not credible. */
  get rejectedSamples(): number {
    return this.rejected;
  }

  /** Average work of the requests of all routes; null before the first. */
  get averageMs(): number | null {
    return this.overallMs;
  }

  /** Records a run on a server of this speed, relative to the usual one. */
  note(route: string, runMs: number, speed: number, nowMs: number): void {
    const workMs = runMs * speed;
    if (
      !(runMs >= 0 && workMs <= MAXIMUM_WORK_MS) ||
      !(speed >= MINIMUM_SPEED && speed <= MAXIMUM_SPEED)
    ) {
      this.rejected++;
      return;
    }
    this.overallMs =
      this.overallMs === null
        ? workMs
        : this.overallMs + AVERAGE_SMOOTHING * (workMs - this.overallMs);
    const samples = this.samplesOf(route, nowMs);
    const idleMs = nowMs - samples.lastMs;
    if (idleMs > IDLE_HALF_LIFE_MS) {
      scale(samples, 0.5 ** (idleMs / IDLE_HALF_LIFE_MS));
    } else if (samples.weight >= MAXIMUM_WEIGHT) {
      scale(samples, 0.5);
    }
    samples.lastMs = nowMs;
    samples.weight++;
    samples.sumMs += workMs;
    samples.squaresMs += workMs * workMs;
    const bucket = bucketOf(workMs);
    samples.weights[bucket]++;
    samples.sums[bucket] += workMs;
  }

  /** Returns the mean work of a request; null if the route is not known. */
  expectedMs(route: string): number | null {
    const samples = this.routes.get(route);
    return samples ? samples.sumMs / samples.weight : null;
  }

  /** Returns the standard deviation of the work; null if it is not known. */
  deviationMs(route: string): number | null {
    const samples = this.routes.get(route);
    if (!samples) return null;
    const meanMs = samples.sumMs / samples.weight;
    const variance = samples.squaresMs / samples.weight - meanMs * meanMs;
    return Math.sqrt(Math.max(0, variance));
  }

  /**
   * Returns the expected remaining work of a request for which a server has
   * done `doneMs` of work; null if the route is not known.
   */
  remainingMs(route: string, doneMs: number): number | null {
    const samples = this.routes.get(route);
    if (!samples) return null;
    if (doneMs <= 0) return samples.sumMs / samples.weight;
    const {sums, weights} = samples;
    let weight = 0;
    let sumMs = 0;
    for (let index = bucketOf(doneMs); index < BUCKET_COUNT; index++) {
      // The samples of the first bucket may lie below the work done.
      if (sums[index] <= doneMs * weights[index]) continue;
      weight += weights[index];
      sumMs += sums[index];
    }
    return weight > 0 ? sumMs / weight - doneMs : doneMs * TAIL_SHARE;
  }

  private samplesOf(route: string, nowMs: number): RouteSamples {
    let samples = this.routes.get(route);
    if (!samples) {
      if (this.routes.size >= MAXIMUM_ROUTES) this.routes.clear();
      samples = {
        weight: 0,
        sumMs: 0,
        squaresMs: 0,
        lastMs: nowMs,
        weights: new Float64Array(BUCKET_COUNT),
        sums: new Float64Array(BUCKET_COUNT),
      };
      this.routes.set(route, samples);
    }
    return samples;
  }
}

function scale(samples: RouteSamples, factor: number): void {
  samples.weight *= factor;
  samples.sumMs *= factor;
  samples.squaresMs *= factor;
  for (let index = 0; index < BUCKET_COUNT; index++) {
    samples.weights[index] *= factor;
    samples.sums[index] *= factor;
  }
}

function bucketOf(workMs: number): number {
  if (workMs <= 1) return 0;
  const index = Math.ceil(BUCKETS_PER_DOUBLING * Math.log2(workMs));
  return Math.min(BUCKET_COUNT - 1, index);
}
