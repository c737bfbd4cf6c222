/** Weight of the newest report. */
const STEP = 0.2;

/** Without reports a pressure halves in this time, in milliseconds. */
const HALF_LIFE_MS = 500;

/** A pressure below this is none. */
const NEGLIGIBLE = 0.005;

interface Entry {
  pressure: number;
  updatedMs: number;
}

/** The pressure of services as their targets report it with each answer. */
export class PressureTable {
  private readonly entries = new Map<string, Entry>();

  learn(service: string, pressure: number, nowMs: number): void {
    const entry = this.entries.get(service);
    if (!entry) {
      if (pressure > 0) this.entries.set(service, {pressure, updatedMs: nowMs});
      return;
    }
    const before = current(entry, nowMs);
    entry.pressure = before + STEP * (pressure - before);
    entry.updatedMs = nowMs;
    if (entry.pressure < NEGLIGIBLE) this.entries.delete(service);
  }

  of(service: string, nowMs: number): number {
    const entry = this.entries.get(service);
    return entry ? current(entry, nowMs) : 0;
  }

  /** The highest pressure of any service. */
  highest(nowMs: number): number {
    let highest = 0;
    for (const entry of this.entries.values()) {
      highest = Math.max(highest, current(entry, nowMs));
    }
    return highest;
  }
}

function current(entry: Entry, nowMs: number): number {
  const elapsedMs = Math.max(0, nowMs - entry.updatedMs);
  return entry.pressure * 0.5 ** (elapsedMs / HALF_LIFE_MS);
}
