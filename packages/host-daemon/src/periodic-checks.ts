import type * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as runtime from '@camphorwharf/runtime';
import type * as fleetState from './fleet-state.js';
import type * as loadObserver from './load-observer.js';
import * as standstillDetector from './standstill-detector.js';

const INTERVAL_MS = 500;

export interface PeriodicCheckOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  readonly state: Pick<fleetState.FleetState, 'noteStandstill'>;
  readonly limits: Pick<fleetLimits.FleetRateLimits, 'tick'>;
  readonly observer: Pick<loadObserver.LoadObserver, 'export'>;
}

/** Does what is due as time passes, whatever arrives. */
export async function runPeriodicChecks(
  options: PeriodicCheckOptions,
  signal: AbortSignal,
): Promise<void> {
  const {clock, limits, logger, metrics, observer, state} = options;
  const standstills = new standstillDetector.StandstillDetector();
  while (!signal.aborted) {
    const nowMs = clock.monotonicMs();
    const uncountedMs = standstills.observe(nowMs, clock.wallMs());
    if (uncountedMs !== null) {
      logger.warn('standstill-suspected', {uncountedMs});
      state.noteStandstill();
    }
    limits.tick(nowMs);
    observer.export(metrics);
    await clock.delay(INTERVAL_MS, signal);
  }
}
