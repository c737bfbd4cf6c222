import * as pressureTable from './pressure-table.js';

/** Runs and calls count for about this time, in milliseconds. */
const WINDOW_MS = 2_000;

/** A count that fades with time. */
class FadingCount {
  private count = 0;
  private updatedMs = 0;

  add(nowMs: number): void {
    this.count = this.at(nowMs) + 1;
    this.updatedMs = nowMs;
  }

  at(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.updatedMs);
    return this.count * Math.exp(-elapsedMs / WINDOW_MS);
  }
}

/**
 * The pressure of the services that a backend server calls. A service counts
 * by the calls that one run makes to it, at most in full: shedding runs would
 * hardly relieve a service that few of them call. Without that, two services
 * that now and then call each other would hold up each other's pressure.
 */
export class DownstreamPressure {
  private readonly table = new pressureTable.PressureTable();
  private readonly runs = new FadingCount();
  private readonly calls = new Map<string, FadingCount>();

  /** The backend server begins to work on a call. */
  noteRun(nowMs: number): void {
    this.runs.add(nowMs);
  }

  /** The backend server makes a call. */
  noteCall(service: string, nowMs: number): void {
    let count = this.calls.get(service);
    if (!count) {
      count = new FadingCount();
      this.calls.set(service, count);
    }
    count.add(nowMs);
  }

  /** A target of the service has reported its pressure. */
  learn(service: string, pressure: number, nowMs: number): void {
    this.table.learn(service, pressure, nowMs);
  }

  /** The highest pressure below, from 0 to 1. */
  highest(nowMs: number): number {
    const runs = this.runs.at(nowMs);
    return this.table.highest(nowMs, service => {
      const calls = this.calls.get(service)?.at(nowMs) ?? 0;
      // Both fade alike, so that the ratio outlasts a time without runs.
      return calls < runs ? calls / runs : Math.sign(calls);
    });
  }
}
