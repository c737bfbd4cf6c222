import * as admission from '@camphorwharf/admission';
import type * as runtime from '@camphorwharf/runtime';
import * as roundRatio from './round-ratio.js';
import type * as workScheduler from './work-scheduler.js';

/** Interval at which the load is sampled. */
const SAMPLE_INTERVAL_MS = 100;

/** Above this lag of the event loop, input is assumed to be unread. */
const LAG_THRESHOLD_MS = 50;

/** Weight of the newest sample in the moving average of the busy share. */
const BUSY_SMOOTHING_FACTOR = 0.3;

/** Pressure from which load shedding is logged. */
const LOG_THRESHOLD = 0.05;

/** The sampled state of the local backend server's slots. */
export interface ObservedSlots {
  readonly capacity: number;
  /** Average run time of a call, in milliseconds. */
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
 * Samples the demand on the backend server and on this process, and their
 * capacity, at regular intervals.
 */
export class LoadMonitor {
  private readonly serviceControl = new admission.PressureControl();
  private readonly slotControl = new admission.PressureControl();
  private readonly processControl = new admission.PressureControl();
  private readonly sustainedLag = new admission.SustainedLag();
  /**
   * Infinite before the first sample, as startup may have delayed reading
   * input.
   */
  private lastLagMs = Infinity;
  private nextSampleMs = Infinity;
  private smoothedBusyShare = 0;
  private isUnderPressure = false;

  constructor(private readonly options: LoadMonitorOptions) {}

  /** Fraction of time for which this process is busy, from 0 to 1. */
  get busyShare(): number {
    return this.smoothedBusyShare;
  }

  /** Fraction of the demand that upstream services should reject. */
  get servicePressure(): number {
    return this.serviceControl.value;
  }

  /** The same as far as the slots of the backend server are the reason. */
  get slotPressure(): number {
    return this.slotControl.value;
  }

  /**
   * Fraction of the requests that this process should reject because it lacks
   * CPU time for them.
   */
  get processPressure(): number {
    return this.processControl.value;
  }

  /** Whether the event loop lagged at the last sample, or none was taken yet. */
  get isLagging(): boolean {
    return this.lastLagMs > LAG_THRESHOLD_MS;
  }

  /**
   * Longest time for which input that is read now may have waited for this
   * process, in milliseconds; infinite before the first sample.
   */
  inputAgeMs(nowMs: number): number {
    return Math.max(0, this.lastLagMs, nowMs - this.nextSampleMs);
  }

  recordArrival(): void {
    this.serviceControl.noteArrival();
    this.slotControl.noteArrival();
  }

  recordRefusal(nested: boolean): void {
    this.serviceControl.noteRefusal(nested);
    this.slotControl.noteRefusal(nested);
  }

  /** Exports the pressures as metrics. */
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
      this.nextSampleMs = dueMs;
      await clock.delay(SAMPLE_INTERVAL_MS, stop);
      const nowMs = clock.monotonicMs();
      // Work waits in the scheduler's queue even if the timer fires on time.
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
    this.slotControl.update({...observation, lagMs: 0, busyShare: 0});
    this.processControl.update({
      ...observation,
      waiting: 0,
      lagMs: this.sustainedLag.note(lagMs),
      // Most of the load on a process may come from other hosts; shedding
      // requests of its own clients would not reduce that part.
      busyShare: 0,
    });
    this.logPressureChange(observation);
  }

  /** Logs when significant pressure starts and when it has ended. */
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
