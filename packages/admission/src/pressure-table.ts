/** Minimum weight of a new report, for reports in quick succession. */
const MINIMUM_REPORT_WEIGHT = 0.2;

/** Half-life of the weight of earlier reports, in milliseconds. */
const REPORT_HALF_LIFE_MS = 500;

/**
 * Time without a report after which a pressure starts to decay, in
 * milliseconds.
 */
const LIFETIME_MS = 1_000;

/** Half-life of a pressure that has expired, in milliseconds. */
const EXPIRED_HALF_LIFE_MS = 300;

/** Pressures below this value are treated as 0. */
const NEGLIGIBLE_PRESSURE = 0.005;

interface Entry {
  pressure: number;
  updatedMs: number;
}

/** Reported pressure of each service as a moving average over time. */
export class PressureTable {
  private readonly entries = new Map<string, Entry>();

  update(service: string, pressure: number, nowMs: number): void {
    const entry = this.entries.get(service);
    if (!entry) {
      if (pressure > 0) this.entries.set(service, {pressure, updatedMs: nowMs});
      return;
    }
    const previous = currentPressure(entry, nowMs);
    const elapsedMs = Math.max(0, nowMs - entry.updatedMs);
    const weight =
      1 -
      (1 - MINIMUM_REPORT_WEIGHT) * 0.5 ** (elapsedMs / REPORT_HALF_LIFE_MS);
    entry.pressure = previous + weight * (pressure - previous);
    entry.updatedMs = nowMs;
    if (entry.pressure < NEGLIGIBLE_PRESSURE) this.entries.delete(service);
  }

  pressureOf(service: string, nowMs: number): number {
    const entry = this.entries.get(service);
    return entry ? currentPressure(entry, nowMs) : 0;
  }

  /** Returns the services with a reported pressure. */
  *pressures(nowMs: number): Generator<readonly [string, number]> {
    for (const [service, entry] of this.entries) {
      yield [service, currentPressure(entry, nowMs)];
    }
  }

  /** Returns the highest pressure, each multiplied by its service's weight. */
  highest(
    nowMs: number,
    weightOf: (service: string) => number = () => 1,
  ): number {
    let highest = 0;
    for (const [service, entry] of this.entries) {
      highest = Math.max(
        highest,
        currentPressure(entry, nowMs) * weightOf(service),
      );
    }
    return highest;
  }
}

function currentPressure(entry: Entry, nowMs: number): number {
  const expiredForMs = Math.max(0, nowMs - entry.updatedMs - LIFETIME_MS);
  return entry.pressure * 0.5 ** (expiredForMs / EXPIRED_HALF_LIFE_MS);
}
