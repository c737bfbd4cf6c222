import type * as routing from '@camphorwharf/routing';

/** Weight of a time below the estimate, which follows a longer one at once. */
const DECAY_FACTOR = 0.05;

/** At this number all are forgotten: routes may come and go for a long time. */
const MAXIMUM_ROUTES = 4_096;

/** Estimates how long a request of a route takes; rather too long than short. */
export class RunTimes {
  /** In milliseconds, by the name of the route. */
  private readonly estimates = new Map<string, number>();

  note(route: Pick<routing.Route, 'name'>, elapsedMs: number): void {
    const estimateMs = this.estimates.get(route.name) ?? 0;
    if (this.estimates.size >= MAXIMUM_ROUTES) this.estimates.clear();
    const factor = elapsedMs > estimateMs ? 1 : DECAY_FACTOR;
    this.estimates.set(
      route.name,
      estimateMs + factor * (elapsedMs - estimateMs),
    );
  }

  /** A route without requests is assumed to take as long as it should at most. */
  expectedMs(route: Pick<routing.Route, 'name' | 'objectiveMs'>): number {
    return this.estimates.get(route.name) ?? route.objectiveMs;
  }
}
