/** Smallest weight of the newest report, for reports that come together. */
const STEP = 0.2;

/** Weight of the reports before halves in this time, in milliseconds. */
const REPORT_HALF_LIFE_MS = 500;

/** A pressure holds for this long without a report, in milliseconds. */
const LIFETIME_MS = 1_000;

/** After its lifetime a pressure halves in this time, in milliseconds. */
const FADING_HALF_LIFE_MS = 300;

/** A pressure below this is none. */
const NEGLIGIBLE = 0.005;

interface Entry {
  pressure: number;
  updatedMs: number;
}

/** The pressure of services as others report it, averaged over time. */
export class PressureTable {
  private readonly entries = new Map<string, Entry>();

  learn(service: string, pressure: number, nowMs: number): void {
    const entry = this.entries.get(service);
    if (!entry) {
      if (pressure > 0) this.entries.set(service, {pressure, updatedMs: nowMs});
      return;
    }
    const before = current(entry, nowMs);
    const elapsedMs = Math.max(0, nowMs - entry.updatedMs);
    const step = 1 - (1 - STEP) * 0.5 ** (elapsedMs / REPORT_HALF_LIFE_MS);
    entry.pressure = before + step * (pressure - before);
    entry.updatedMs = nowMs;
    if (entry.pressure < NEGLIGIBLE) this.entries.delete(service);
  }

  of(service: string, nowMs: number): number {
    const entry = this.entries.get(service);
    return entry ? current(entry, nowMs) : 0;
  }

  /** The highest pressure of any service, each times its weight. */
  highest(
    nowMs: number,
    weightOf: (service: string) => number = () => 1,
  ): number {
    let highest = 0;
    for (const [service, entry] of this.entries) {
      highest = Math.max(highest, current(entry, nowMs) * weightOf(service));
    }
    return highest;
  }
}

function current(entry: Entry, nowMs: number): number {
  const fadingMs = Math.max(0, nowMs - entry.updatedMs - LIFETIME_MS);
  return entry.pressure * 0.5 ** (fadingMs / FADING_HALF_LIFE_MS);
}
