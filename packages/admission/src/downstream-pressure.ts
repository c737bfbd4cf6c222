import * as pressureTable from './pressure-table.js';

/** Time constant of the decay of run and call counts. */
const DECAY_TIME_CONSTANT_MS = 2_000;

/** Counter with exponential decay. */
class DecayingCounter {
  private count = 0;
  private updatedMs = 0;

  add(nowMs: number): void {
    this.count = this.valueAt(nowMs) + 1;
    this.updatedMs = nowMs;
  }

  valueAt(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    return this.count * Math.exp(-elapsedMs / DECAY_TIME_CONSTANT_MS);
  }
}

/**
 * Combines the pressures of the services that a backend server calls. Each
 * service is weighted by the average number of calls per run, up to 1: shedding
 * runs barely relieves a service that few of them call. Without the weights,
 * two services that occasionally call each other would sustain each other's
 * pressure.
 */
export class DownstreamPressure {
  private readonly table = new pressureTable.PressureTable();
  private readonly runs = new DecayingCounter();
  private readonly calls = new Map<string, DecayingCounter>();

  /** Records that the backend server starts processing a call. */
  noteRun(nowMs: number): void {
    this.runs.add(nowMs);
  }

  /** Records that the backend server calls a service. */
  noteCall(service: string, nowMs: number): void {
    let count = this.calls.get(service);
    if (!count) {
      count = new DecayingCounter();
      this.calls.set(service, count);
    }
    count.add(nowMs);
  }

  /** Records the pressure reported by a target of the service. */
  update(service: string, pressure: number, nowMs: number): void {
    this.table.update(service, pressure, nowMs);
  }

  /** Returns the highest weighted downstream pressure, from 0 to 1. */
  highest(nowMs: number): number {
    const runs = this.runs.valueAt(nowMs);
    return this.table.highest(nowMs, service => {
      const calls = this.calls.get(service)?.valueAt(nowMs) ?? 0;
      // Both counters decay at the same rate, so the ratio is stable while
      // there are no runs.
      return calls < runs ? calls / runs : Math.sign(calls);
    });
  }
}
