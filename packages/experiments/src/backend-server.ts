import type * as runtime from '@camphorwharf/runtime';
import type * as deployments from './deployments.js';
import type * as virtualTime from './virtual-time.js';

/** Load that a backend server reports: its actual load, or a wrong one. */
export type ReportMode = 'accurate' | 'idle' | 'full' | 'lagging';

/** Age of the reported load in the mode `lagging`. */
const REPORT_LAG_MS = 5_000;

/** Service time of a cold server, as a multiple of that of a warm one. */
const COLD_START_FACTOR = 5;

/** Time constant of the exponential decay from cold to warm. */
const WARM_UP_TIME_CONSTANT_MS = 1_500;

/** A call to the backend server. */
export interface BackendCall {
  /** Called at the end of the service time; `release` frees the slot. */
  readonly run: (release: () => void) => void;
  /** Called in place of `run` when the call is not served. */
  readonly drop: (reason: 'overloaded' | 'cancelled') => void;
  /** Checked when the call gets a slot. */
  readonly isCancelled: () => boolean;
}

/**
 * Simulates a backend server in virtual time, with slots, a queue and a load
 * report. `BackendServerStandIn` in packages/stand-ins serves real requests.
 */
export class BackendServer {
  slowDown = 1;
  reportMode: ReportMode = 'accurate';
  private busy = 0;
  private readonly queue: BackendCall[] = [];
  private coldStartedMs = Number.NEGATIVE_INFINITY;
  private readonly loadHistory: Array<readonly [number, number]> = [];

  constructor(
    private readonly time: virtualTime.VirtualTime,
    private readonly random: runtime.RandomSource,
    readonly size: deployments.ServiceSize,
  ) {}

  get inFlight(): number {
    return this.busy + this.queue.length;
  }

  beginColdStart(): void {
    this.coldStartedMs = this.time.nowMs;
  }

  /** Queues a call, or drops it at the connection limit. */
  accept(call: BackendCall): void {
    if (this.inFlight >= this.size.connections) {
      call.drop('overloaded');
      return;
    }
    this.queue.push(call);
    this.startQueued();
  }

  /** Returns what the load endpoint reports in the current mode. */
  reportLoad(): {readonly inFlight: number; readonly slots: number} {
    const {slots} = this.size;
    this.loadHistory.push([this.time.nowMs, this.inFlight]);
    switch (this.reportMode) {
      case 'accurate':
        return {inFlight: this.inFlight, slots};
      case 'idle':
        return {inFlight: 0, slots: 100 * slots};
      case 'full':
        return {inFlight: slots, slots};
      case 'lagging': {
        const reportedAtMs = this.time.nowMs - REPORT_LAG_MS;
        while (
          this.loadHistory.length > 1 &&
          this.loadHistory[1][0] <= reportedAtMs
        ) {
          this.loadHistory.shift();
        }
        return {inFlight: this.loadHistory[0][1], slots};
      }
    }
  }

  private startQueued(): void {
    while (this.busy < this.size.slots && this.queue.length > 0) {
      const call = this.queue.shift()!;
      if (call.isCancelled()) {
        call.drop('cancelled');
        continue;
      }
      this.busy++;
      this.time.after(this.drawServiceTimeMs(), () =>
        call.run(() => {
          this.busy--;
          this.startQueued();
        }),
      );
    }
  }

  /** Draws a shifted exponential time whose warm mean is that of the service. */
  private drawServiceTimeMs(): number {
    const ageMs = this.time.nowMs - this.coldStartedMs;
    const coldFactor =
      1 + (COLD_START_FACTOR - 1) * Math.exp(-ageMs / WARM_UP_TIME_CONSTANT_MS);
    const randomFactor = 0.2 - 0.8 * Math.log(1 - this.random.next());
    return this.size.meanMs * randomFactor * this.slowDown * coldFactor;
  }
}
