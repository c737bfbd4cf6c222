import type * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as coldStartMonitor from './cold-start-monitor.js';
import type * as fleetState from './fleet-state.js';
import type * as loadMonitor from './load-monitor.js';
import type * as requestCosts from './request-costs.js';
import * as suspendDetector from './suspend-detector.js';
import * as zoneStates from './zone-states.js';

const INTERVAL_MS = 500;

export interface PeriodicCheckOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  readonly state: Pick<
    fleetState.FleetState,
    'configurationAgeMs' | 'directory' | 'evacuatedZones' | 'handleSuspend'
  >;
  readonly limits: Pick<fleetLimits.FleetRateLimits, 'tick'>;
  readonly monitor: Pick<loadMonitor.LoadMonitor, 'exportMetrics'>;
  readonly coldStart: Pick<coldStartMonitor.ColdStartMonitor, 'exportMetrics'>;
  /** Absent unless requests are admitted by their costs. */
  readonly costs?: Pick<requestCosts.RequestCosts, 'exportMetrics'>;
  readonly bodyMemory: Pick<transport.BodyMemory, 'bytes' | 'failedBodies'>;
}

/** Runs the checks that depend on time only, not on input. */
export async function runPeriodicChecks(
  options: PeriodicCheckOptions,
  signal: AbortSignal,
): Promise<void> {
  const {bodyMemory, clock, limits, logger, metrics, monitor, state} = options;
  const detector = new suspendDetector.SuspendDetector();
  const zoneMetrics = new zoneStates.ZoneMetrics(metrics);
  while (!signal.aborted) {
    const nowMs = clock.monotonicMs();
    const uncountedMs = detector.observe(nowMs, clock.wallMs());
    if (uncountedMs !== null) {
      logger.warn('standstill-suspected', {uncountedMs});
      state.handleSuspend();
    }
    limits.tick(nowMs);
    monitor.exportMetrics(metrics);
    zoneMetrics.export(zoneStates.zoneStates(state, nowMs));
    options.coldStart.exportMetrics();
    options.costs?.exportMetrics();
    metrics.gauge(
      'configuration_age_seconds',
      'Time since the platform last confirmed the configuration, in seconds.',
      state.configurationAgeMs(nowMs) / 1_000,
    );
    metrics.gauge(
      'received_body_bytes',
      'Memory of the bodies that this process is receiving, in bytes.',
      bodyMemory.bytes,
    );
    metrics.gauge(
      'received_bodies_failed',
      'Bodies since the start that failed because they held the most memory.',
      bodyMemory.failedBodies,
    );
    await clock.delay(INTERVAL_MS, signal);
  }
}
