import * as admission from '@camphorwharf/admission';
import type * as runtime from '@camphorwharf/runtime';
import * as roundRatio from './round-ratio.js';
import type * as workScheduler from './work-scheduler.js';

/** Interval of the observations of the load. */
const SAMPLE_INTERVAL_MS = 100;

/** A process that is later than this has input that it has not read yet. */
const LATE_THRESHOLD_MS = 50;

/** Weight of the newest observation in the busy share of the process. */
const BUSY_SMOOTHING_FACTOR = 0.3;

/** From this pressure on, the log says that requests are shed for it. */
const LOG_THRESHOLD = 0.05;

/** The slots of the local backend server, as far as they are observed. */
export interface ObservedSlots {
  readonly capacity: number;
  /** Average time that a call runs, in milliseconds. */
  readonly runMs: number;
  readonly queueLength: number;
}

export interface LoadMonitorOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly slots: ObservedSlots;
  readonly meter: Pick<runtime.EventLoopMeter, 'busyShare'>;
  readonly scheduler: Pick<workScheduler.WorkScheduler, 'queueDelayMs'>;
}

/**
 * Observes at regular intervals what the backend server and this process are
 * asked for and what they can do.
 */
export class LoadMonitor {
  private readonly serviceControl = new admission.PressureControl();
  private readonly processControl = new admission.PressureControl();
  private readonly sustainedLag = new admission.SustainedLag();
  /** Until the first observation a start may have held up the input. */
  private lastLagMs = Infinity;
  private smoothedBusyShare = 0;
  private isUnderPressure = false;

  constructor(private readonly options: LoadMonitorOptions) {}

  /** Part of its time for which this process is at work, from 0 to 1. */
  get busyShare(): number {
    return this.smoothedBusyShare;
  }

  /** The part of the demand that services above should not begin. */
  get servicePressure(): number {
    return this.serviceControl.value;
  }

  /**
   * The part of the requests that this process should not begin because it
   * has no time for them.
   */
  get processPressure(): number {
    return this.processControl.value;
  }

  /** Whether the last observation was late, or there was none yet. */
  get isLate(): boolean {
    return this.lastLagMs > LATE_THRESHOLD_MS;
  }

  recordArrival(): void {
    this.serviceControl.noteArrival();
  }

  recordRefusal(nested: boolean): void {
    this.serviceControl.noteRefusal(nested);
  }

  /** Shows the pressures in the metrics. */
  exportMetrics(metrics: runtime.Metrics): void {
    const pressures = {
      service: this.servicePressure,
      process: this.processPressure,
    };
    for (const [source, pressure] of Object.entries(pressures)) {
      metrics.gauge(
        'pressure',
        'Part of the demand that should not begin, from 0 to 1, by source.',
        pressure,
        {source},
      );
    }
    metrics.gauge(
      'event_loop_busy_share',
      'Part of its time for which the event loop was at work, from 0 to 1.',
      this.busyShare,
    );
  }

  /** Runs until the signal aborts. */
  async run(stop: runtime.CancelSignal): Promise<void> {
    const {clock} = this.options;
    while (!stop.aborted) {
      const dueMs = clock.monotonicMs() + SAMPLE_INTERVAL_MS;
      await clock.delay(SAMPLE_INTERVAL_MS, stop);
      const nowMs = clock.monotonicMs();
      // Work that waits to begin is late as well, though the timer is not.
      this.sample(nowMs - dueMs, this.options.scheduler.queueDelayMs(nowMs));
    }
  }

  private sample(loopLagMs: number, startDelayMs: number): void {
    this.lastLagMs = loopLagMs;
    const lagMs = Math.max(loopLagMs, startDelayMs);
    const {meter, slots} = this.options;
    const {capacity, queueLength, runMs} = slots;
    this.smoothedBusyShare +=
      BUSY_SMOOTHING_FACTOR * (meter.busyShare() - this.smoothedBusyShare);
    const observation: admission.CapacityObservation = {
      capacity,
      averageRunMs: runMs,
      waiting: queueLength,
      intervalMs: SAMPLE_INTERVAL_MS,
      lagMs,
      busyShare: this.smoothedBusyShare,
    };
    this.serviceControl.update(observation);
    this.processControl.update({
      ...observation,
      waiting: 0,
      lagMs: this.sustainedLag.note(lagMs),
      // Most of what keeps a process at work may come from other hosts, and
      // shedding its own clients would not relieve it.
      busyShare: 0,
    });
    this.logPressureChange(observation);
  }

  /** Logs when a notable pressure begins and when it has ended. */
  private logPressureChange(observation: admission.CapacityObservation): void {
    const pressure = Math.max(this.servicePressure, this.processPressure);
    const hasEnded = pressure === 0;
    if (this.isUnderPressure ? !hasEnded : pressure < LOG_THRESHOLD) return;
    this.isUnderPressure = !hasEnded;
    this.options.logger.info(hasEnded ? 'pressure-ended' : 'pressure-begun', {
      service: roundRatio.roundRatio(this.servicePressure),
      process: roundRatio.roundRatio(this.processPressure),
      busyShare: roundRatio.roundRatio(observation.busyShare),
      lagMs: Math.round(observation.lagMs),
      waiting: observation.waiting,
      capacity: observation.capacity,
    });
  }
}
