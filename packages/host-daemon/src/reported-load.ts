import * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as coldStartMonitor from './cold-start-monitor.js';
import type * as loadMonitor from './load-monitor.js';
import * as roundRatio from './round-ratio.js';

/** Calls of this priority wait for all others. */
const LOWEST_PRIORITY = 99;

/** More calls than any server runs or has waiting. */
const MAXIMUM_CALLS = 1_000_000;

/** Longer than any call. */
const MAXIMUM_TIME_MS = 3_600_000;

type MutableLoad = {
  -readonly [Name in keyof protocol.ReportedLoad]: protocol.ReportedLoad[Name];
};
/**
 * Smaller shares of poor outcomes are not reported, to save bytes: they have no
 * effect on senders.
 */
const MINIMUM_POOR_SHARE = 0.1;

/** The load of a backend server and its daemon, as reported to senders. */
export function reportedLoad(
  slots: Pick<
    admission.SlotAdmission<unknown>,
    'capacity' | 'expectedWaitMs' | 'queueLength' | 'runningCount' | 'slotCount'
  >,
  monitor: Pick<
    loadMonitor.LoadMonitor,
    'busyShare' | 'servicePressure' | 'slotPressure'
  >,
  downstream: Pick<admission.DownstreamPressure, 'highest'>,
  speed: number,
  nowMs: number,
  cold: coldStartMonitor.ColdReport | null = null,
  poor = 0,
): protocol.ReportedLoad {
  const queuedWorkMs = Math.round(
    slots.expectedWaitMs(false, LOWEST_PRIORITY, nowMs) *
      slots.capacity *
      speed,
  );
  const speedPercent = Math.round(100 * speed);
  const downstreamPressure = roundRatio.roundRatio(downstream.highest(nowMs));
  const ownPressure = roundRatio.roundRatio(monitor.servicePressure);
  const slotPressure = roundRatio.roundRatio(monitor.slotPressure);
  const poorShare = poor < MINIMUM_POOR_SHARE ? 0 : roundRatio.roundRatio(poor);
  const pressure = Math.max(ownPressure, downstreamPressure);
  // Part of each response: spread objects would cost more than the rest.
  const load: MutableLoad = {
    running: slots.runningCount,
    waiting: slots.queueLength,
    slots: slots.slotCount,
    busyShare: roundRatio.roundRatio(monitor.busyShare),
  };
  if (pressure > 0) load.pressure = pressure;
  if (downstreamPressure > 0) load.downstreamPressure = downstreamPressure;
  if (ownPressure > 0 && ownPressure <= downstreamPressure) {
    load.ownPressure = ownPressure;
  }
  if (cold) {
    load.coldRemainingMs = Math.ceil(cold.coldRemainingMs);
    load.startsPerSecond = cold.startsPerSecond;
  }
  if (queuedWorkMs > 0) load.queuedWorkMs = queuedWorkMs;
  if (speedPercent !== 100) load.speed = speedPercent;
  if (slotPressure > 0) load.slotPressure = slotPressure;
  if (poorShare > 0) load.poorShare = poorShare;
  return load;
}

/**
 * Whether the figures of a peer's load are possible. Others are not used: one
 * faulty daemon could draw all requests to itself.
 */
export function isCredibleLoad(load: protocol.ReportedLoad): boolean {
  const {poorShare = 0, queuedWorkMs = 0, runMs = 0} = load;
  const {running, slots, speed, waiting} = load;
  return (
    running + waiting <= MAXIMUM_CALLS &&
    slots <= MAXIMUM_CALLS &&
    queuedWorkMs <= MAXIMUM_TIME_MS * MAXIMUM_CALLS &&
    runMs <= MAXIMUM_TIME_MS &&
    poorShare <= 1 &&
    (speed === undefined ||
      (speed >= 100 * admission.MINIMUM_SPEED &&
        speed <= 100 * admission.MAXIMUM_SPEED))
  );
}

/** The parts of a load that tell how saturated services are. */
export type ReportedPressures = Pick<
  protocol.ReportedLoad,
  'pressure' | 'downstreamPressure' | 'ownPressure' | 'slotPressure'
>;

/** Returns the pressure of a service without its downstream services. */
export function ownPressureOf(load: ReportedPressures): number {
  const {downstreamPressure = 0, ownPressure, pressure = 0} = load;
  return ownPressure ?? (pressure > downstreamPressure ? pressure : 0);
}

/** The parts of a load that concern the call that is answered. */
export type ResponseFigures = {
  readonly [Name in 'costs' | 'refusedBy' | 'runMs']?:
    protocol.ReportedLoad[Name] | undefined;
};

/** Adds to a load what is known only of the call that is answered. */
export function withResponseFigures(
  load: protocol.ReportedLoad,
  {costs, refusedBy, runMs}: ResponseFigures,
): protocol.ReportedLoad {
  if (costs === undefined && runMs === undefined && refusedBy === undefined) {
    return load;
  }
  return {
    ...load,
    ...(costs === undefined ? {} : {costs}),
    ...(runMs === undefined ? {} : {runMs}),
    ...(refusedBy === undefined ? {} : {refusedBy}),
  };
}
