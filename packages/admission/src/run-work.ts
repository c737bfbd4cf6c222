/**
 * Smallest weight of a new run in the average. Run times have long tails, so a
 * larger weight would let single runs move the average.
 */
const MINIMUM_WEIGHT = 0.01;

/** At this number of routes, the one that was noted first is forgotten. */
const MAXIMUM_ROUTES = 1_024;

/** Learned slot time of one run of each route at the service that runs it. */
export interface WorkByRoute {
  /** `speed` is that of the server during the run; 1 is the usual one. */
  note(route: string, runMs: number, speed: number, nowMs: number): void;
  /** At the usual speed; null for a route without a completed run. */
  expectedMs(route: string): number | null;
}

/** The average work of the recent runs of each route. */
export class AverageRunWork implements WorkByRoute {
  private readonly entries = new Map<string, {workMs: number; runs: number}>();

  note(route: string, runMs: number, speed: number): void {
    let entry = this.entries.get(route);
    if (!entry) {
      if (this.entries.size >= MAXIMUM_ROUTES) {
        const [oldest] = this.entries.keys();
        this.entries.delete(oldest);
      }
      this.entries.set(route, (entry = {workMs: 0, runs: 0}));
    }
    entry.runs++;
    const weight = Math.max(MINIMUM_WEIGHT, 1 / entry.runs);
    entry.workMs += weight * (runMs * speed - entry.workMs);
  }

  expectedMs(route: string): number | null {
    return this.entries.get(route)?.workMs ?? null;
  }
}
