/**
 * Time constant of the current speed. Servers report a figure with each
 * response, and it changes many times per second; a single one says little
 * about the time that a whole run takes.
 */
const CURRENT_TIME_CONSTANT_MS = 150;

/** Time constant of the long-term speed. */
const LONG_TERM_TIME_CONSTANT_MS = 30_000;

/** A single figure counts at most as if it had been valid for this long. */
const MAXIMUM_FIGURE_MS = 50;

/** Half-life of the difference between current and long-term speed. */
const CURRENT_HALF_LIFE_MS = 500;

/**
 * Number of runs of average work, at usual speed, that are assumed before the
 * first one. One in 100 runs takes 5 to 7 times as long as the mean, so a few
 * runs say little about a server.
 */
const ASSUMED_RUNS = 8;

/** Runs in the memory of the speed that run times show. */
const REMEMBERED_RUNS = 150;

/**
 * Half-life of what run times have shown. A server that was slow for a while
 * gets few requests, so it would be taken for slow for good.
 */
const RUNS_HALF_LIFE_MS = 15_000;

/** Range of the speed relative to the usual one. */
const MINIMUM_SPEED = 0.1;
const MAXIMUM_SPEED = 5;

/**
 * The speed of a server relative to the usual one. It is the product of the
 * figure that the server reports, if any, and of a factor learned from run
 * times: the figure may leave out persistent differences between machines.
 */
export class ServerSpeed {
  private reported = 1;
  private longTermReported = 1;
  private reportedAtMs = -Infinity;
  /** Sums over the remembered runs. */
  private expectedMs = 0;
  private runMs = 0;
  private runs = 0;
  private lastRunMs = 0;

  /** Records a figure of the server; invalid ones are ignored. */
  noteReported(speed: number, nowMs: number): void {
    if (!(speed > 0 && speed < Infinity)) return;
    const bounded = clamp(speed);
    if (this.reportedAtMs === -Infinity) {
      this.longTermReported = bounded;
      this.reported = bounded;
      this.reportedAtMs = nowMs;
      return;
    }
    const current = this.reportedNow(nowMs);
    const elapsedMs = Math.max(0, nowMs - this.reportedAtMs);
    const validMs = Math.min(elapsedMs, MAXIMUM_FIGURE_MS);
    this.reported =
      current +
      smoothing(validMs, CURRENT_TIME_CONSTANT_MS) * (bounded - current);
    this.longTermReported +=
      smoothing(elapsedMs, LONG_TERM_TIME_CONSTANT_MS) *
      (bounded - this.longTermReported);
    this.reportedAtMs = nowMs;
  }

  /**
   * Records a run that was expected to take `expectedMs` on a server of usual
   * speed.
   */
  noteRun(expectedMs: number, runMs: number, nowMs: number): void {
    if (!(expectedMs > 0 && runMs > 0 && expectedMs + runMs < Infinity)) return;
    const kept =
      this.runs >= REMEMBERED_RUNS ? 0.5 : this.rememberedShare(nowMs);
    this.lastRunMs = nowMs;
    this.expectedMs *= kept;
    this.runMs *= kept;
    this.runs = this.runs * kept + 1;
    this.expectedMs += expectedMs;
    // As it would have been at the speed that the figure leaves out.
    this.runMs += runMs * this.reportedNow(nowMs);
  }

  /** The speed now, from the latest figures. */
  current(nowMs: number): number {
    return clamp(this.factor(nowMs) * this.reportedNow(nowMs));
  }

  /** The speed over a long time. */
  longTerm(nowMs: number): number {
    return clamp(this.factor(nowMs) * this.longTermReported);
  }

  private reportedNow(nowMs: number): number {
    const ageMs = nowMs - this.reportedAtMs;
    if (ageMs <= MAXIMUM_FIGURE_MS) return this.reported;
    if (ageMs === Infinity) return 1;
    const weight = 0.5 ** ((ageMs - MAXIMUM_FIGURE_MS) / CURRENT_HALF_LIFE_MS);
    return (
      this.longTermReported + weight * (this.reported - this.longTermReported)
    );
  }

  /** Speed that run times show beyond the reported figure. */
  private factor(nowMs: number): number {
    if (this.runs === 0) return 1;
    const kept = this.rememberedShare(nowMs);
    const assumedMs = ASSUMED_RUNS * (this.expectedMs / this.runs);
    return (
      (this.expectedMs * kept + assumedMs) / (this.runMs * kept + assumedMs)
    );
  }

  private rememberedShare(nowMs: number): number {
    const idleMs = Math.max(0, nowMs - this.lastRunMs);
    return 0.5 ** (idleMs / RUNS_HALF_LIFE_MS);
  }
}

function smoothing(elapsedMs: number, timeConstantMs: number): number {
  return elapsedMs / (elapsedMs + timeConstantMs);
}

function clamp(speed: number): number {
  return Math.min(MAXIMUM_SPEED, Math.max(MINIMUM_SPEED, speed));
}
