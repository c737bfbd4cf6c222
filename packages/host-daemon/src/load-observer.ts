import * as admission from '@camphorwharf/admission';
import type * as runtime from '@camphorwharf/runtime';

/** Interval of the observations of the load. */
const OBSERVATION_MS = 100;

/** A process that is later than this has input that it has not read yet. */
const LATE_MS = 50;

/** The slots of the local backend server, as far as they are observed. */
export interface ObservedSlots {
  readonly capacity: number;
  /** Average time that a call runs, in milliseconds. */
  readonly runMs: number;
  readonly queueLength: number;
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

  constructor(
    private readonly clock: runtime.Clock,
    private readonly slots: ObservedSlots,
  ) {}

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
    metrics.gauge(
      'pressure',
      'Part of the demand that should not begin, from 0 to 1, by source.',
      this.servicePressure,
      {source: 'service'},
    );
    metrics.gauge(
      'pressure',
      'Part of the demand that should not begin, from 0 to 1, by source.',
      this.processPressure,
      {source: 'process'},
    );
  }

  /** Runs until the signal aborts. */
  async run(stop: runtime.CancelSignal): Promise<void> {
    const {clock} = this;
    while (!stop.aborted) {
      const dueMs = clock.monotonicMs() + OBSERVATION_MS;
      await clock.delay(OBSERVATION_MS, stop);
      this.observe(clock.monotonicMs() - dueMs);
    }
  }

  private observe(lagMs: number): void {
    this.lastLagMs = lagMs;
    const {capacity, queueLength, runMs} = this.slots;
    const observation: admission.CapacityObservation = {
      capacity,
      averageRunMs: runMs,
      waiting: queueLength,
      intervalMs: OBSERVATION_MS,
      lagMs,
    };
    this.service.update(observation);
    this.process.update({
      ...observation,
      waiting: 0,
      lagMs: this.sustainedLag.note(lagMs),
    });
  }
}
