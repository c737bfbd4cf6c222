import * as admission from '@camphorwharf/admission';
import type * as runtime from '@camphorwharf/runtime';
import * as roundedShare from './rounded-share.js';
import type * as startGate from './start-gate.js';

/** Interval of the observations of the load. */
const OBSERVATION_MS = 100;

/** A process that is later than this has input that it has not read yet. */
const LATE_MS = 50;

/** Weight of the newest observation in the busy share of the process. */
const BUSY_STEP = 0.3;

/** From this pressure on, the log says that requests are shed for it. */
const NOTABLE_PRESSURE = 0.05;

/** The slots of the local backend server, as far as they are observed. */
export interface ObservedSlots {
  readonly capacity: number;
  /** Average time that a call runs, in milliseconds. */
  readonly runMs: number;
  readonly queueLength: number;
}

export interface LoadObserverOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly slots: ObservedSlots;
  readonly meter: Pick<runtime.EventLoopMeter, 'busyShare'>;
  readonly gate: Pick<startGate.StartGate, 'waitMs'>;
}

/**
 * Observes at regular intervals what the backend server and this process are
 * asked for and what they can do.
 */
export class LoadObserver {
  private readonly service = new admission.PressureControl();
  private readonly process = new admission.PressureControl();
  private readonly sustainedLag = new admission.SustainedLag();
  /** Until the first observation a start may have held up the input. */
  private lastLagMs = Infinity;
  private busy = 0;
  private isNotable = false;

  constructor(private readonly options: LoadObserverOptions) {}

  /** Part of its time for which this process is at work, from 0 to 1. */
  get busyShare(): number {
    return this.busy;
  }

  /** The part of the demand that services above should not begin. */
  get servicePressure(): number {
    return this.service.value;
  }

  /**
   * The part of the requests that this process should not begin because it
   * has no time for them.
   */
  get processPressure(): number {
    return this.process.value;
  }

  /** Whether the last observation was late, or there was none yet. */
  get isLate(): boolean {
    return this.lastLagMs > LATE_MS;
  }

  noteArrival(): void {
    this.service.noteArrival();
  }

  noteRefusal(nested: boolean): void {
    this.service.noteRefusal(nested);
  }

  /** Shows the pressures in the metrics. */
  export(metrics: runtime.Metrics): void {
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
      const dueMs = clock.monotonicMs() + OBSERVATION_MS;
      await clock.delay(OBSERVATION_MS, stop);
      const nowMs = clock.monotonicMs();
      // Work that waits to begin is late as well, though the timer is not.
      this.observe(nowMs - dueMs, this.options.gate.waitMs(nowMs));
    }
  }

  private observe(loopLagMs: number, startDelayMs: number): void {
    this.lastLagMs = loopLagMs;
    const lagMs = Math.max(loopLagMs, startDelayMs);
    const {meter, slots} = this.options;
    const {capacity, queueLength, runMs} = slots;
    this.busy += BUSY_STEP * (meter.busyShare() - this.busy);
    const observation: admission.CapacityObservation = {
      capacity,
      averageRunMs: runMs,
      waiting: queueLength,
      intervalMs: OBSERVATION_MS,
      lagMs,
      busyShare: this.busy,
    };
    this.service.update(observation);
    this.process.update({
      ...observation,
      waiting: 0,
      lagMs: this.sustainedLag.note(lagMs),
      // Most of what keeps a process at work may come from other hosts, and
      // shedding its own clients would not relieve it.
      busyShare: 0,
    });
    this.noteChange(observation);
  }

  /** Logs when a notable pressure begins and when it has ended. */
  private noteChange(observation: admission.CapacityObservation): void {
    const pressure = Math.max(this.servicePressure, this.processPressure);
    const ends = pressure === 0;
    if (this.isNotable ? !ends : pressure < NOTABLE_PRESSURE) return;
    this.isNotable = !ends;
    this.options.logger.info(ends ? 'pressure-ended' : 'pressure-begun', {
      service: roundedShare.roundedShare(this.servicePressure),
      process: roundedShare.roundedShare(this.processPressure),
      busyShare: roundedShare.roundedShare(observation.busyShare),
      lagMs: Math.round(observation.lagMs),
      waiting: observation.waiting,
      capacity: observation.capacity,
    });
  }
}
