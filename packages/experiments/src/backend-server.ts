import type * as runtime from '@camphorwharf/runtime';
import type * as deployments from './deployments.js';
import type * as virtualTime from './virtual-time.js';

/** What the load report says in place of the truth. */
export type ReportMode = 'true' | 'idle' | 'full' | 'lagging';

/** A load report is this late in the mode `lagging`. */
const REPORT_LAG_MS = 5_000;

/** Service time of a cold server over a warm one, and how fast it falls. */
const COLD_FACTOR = 5;
const WARM_UP_MS = 1_500;

/** One call at the server. */
export interface BackendCall {
  /** Runs once the call has a slot and its own work is done. */
  readonly work: (release: () => void) => void;
  /** Called in place of `work` when the call is not run. */
  readonly drop: (reason: 'overloaded' | 'cancelled') => void;
  /** Asked when the call gets a slot. */
  readonly isCancelled: () => boolean;
}

/** A fake backend server: slots, a queue inside, and a load report. */
export class BackendServer {
  slowFactor = 1;
  reportMode: ReportMode = 'true';
  private busy = 0;
  private readonly queue: BackendCall[] = [];
  private coldSinceMs = Number.NEGATIVE_INFINITY;
  private readonly history: Array<readonly [number, number]> = [];

  constructor(
    private readonly time: virtualTime.VirtualTime,
    private readonly random: runtime.RandomSource,
    readonly size: deployments.ServiceSize,
  ) {}

  get inFlight(): number {
    return this.busy + this.queue.length;
  }

  startCold(): void {
    this.coldSinceMs = this.time.nowMs;
  }

  accept(call: BackendCall): void {
    if (this.inFlight >= this.size.connections) {
      call.drop('overloaded');
      return;
    }
    this.queue.push(call);
    this.fill();
  }

  /** The load endpoint: calls in flight and slots, as far as it tells. */
  reportLoad(): {readonly inFlight: number; readonly slots: number} {
    const {slots} = this.size;
    this.history.push([this.time.nowMs, this.inFlight]);
    switch (this.reportMode) {
      case 'true':
        return {inFlight: this.inFlight, slots};
      case 'idle':
        return {inFlight: 0, slots: 100 * slots};
      case 'full':
        return {inFlight: slots, slots};
      case 'lagging': {
        const untilMs = this.time.nowMs - REPORT_LAG_MS;
        while (this.history.length > 1 && this.history[1][0] <= untilMs) {
          this.history.shift();
        }
        return {inFlight: this.history[0][1], slots};
      }
    }
  }

  private fill(): void {
    while (this.busy < this.size.slots && this.queue.length > 0) {
      const call = this.queue.shift()!;
      if (call.isCancelled()) {
        call.drop('cancelled');
        continue;
      }
      this.busy++;
      this.time.after(this.workMs(), () =>
        call.work(() => {
          this.busy--;
          this.fill();
        }),
      );
    }
  }

  /** A fixed part and an exponential one; the mean is that of the service. */
  private workMs(): number {
    const ageMs = this.time.nowMs - this.coldSinceMs;
    const cold = 1 + (COLD_FACTOR - 1) * Math.exp(-ageMs / WARM_UP_MS);
    const spread = 0.2 - 0.8 * Math.log(1 - this.random.next());
    return this.size.meanMs * spread * this.slowFactor * cold;
  }
}
