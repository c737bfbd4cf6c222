/** Names of the counters from which the report is made. */
const COUNTER =
  /^camphorwharf_((?:route|organisation)_requests_(?:received|ended)_total|slot_seconds_(?:used|wasted)_total)(?:\{(.*)\})? (\S+)/;

/** Every daemon that counts requests by route exports this counter. */
const REQUIRED_COUNTER = 'slot_seconds_used_total';

const LABEL = /([A-Za-z_]\w*)="((?:[^"\\]|\\.)*)"/g;

/** One series of a counter. */
export interface Series {
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** Series of counters by name and labels. */
export type Snapshot = ReadonlyMap<string, Series>;

/** Adds up series, also of several daemons. */
export class SnapshotSum {
  private readonly series = new Map<string, Series>();

  get snapshot(): Snapshot {
    return this.series;
  }

  add(key: string, {name, labels, value}: Series): void {
    const sum = (this.series.get(key)?.value ?? 0) + value;
    this.series.set(key, {name, labels, value: sum});
  }

  addAll(snapshot: Snapshot): void {
    for (const [key, series] of snapshot) this.add(key, series);
  }

  /** Adds a line of metrics; returns false if it is not about the report. */
  addLine(line: string): boolean {
    const match = COUNTER.exec(line);
    if (!match) return false;
    const [, name, labelText = '', valueText] = match;
    const value = Number(valueText);
    if (!(value >= 0 && value < Infinity)) return false;
    const labels: Record<string, string> = {};
    for (const [, label, text] of labelText.matchAll(LABEL)) {
      labels[label] = text.replace(/\\(.)/g, (_escape, character: string) =>
        character === 'n' ? '\n' : character,
      );
    }
    this.add(`${name}{${labelText}}`, {name, labels, value});
    return true;
  }
}

/** Returns null if the metrics lack the counters of the report. */
export function parseSnapshot(text: string): Snapshot | null {
  const sum = new SnapshotSum();
  for (const line of text.split('\n')) sum.addLine(line);
  for (const {name} of sum.snapshot.values()) {
    if (name === REQUIRED_COUNTER) return sum.snapshot;
  }
  return null;
}

/**
 * Returns by how much the counters of a daemon have increased. A counter that
 * has decreased has begun anew with the process.
 */
export function increase(before: Snapshot, after: Snapshot): Snapshot {
  const result = new Map<string, Series>();
  for (const [key, series] of after) {
    const previous = before.get(key)?.value ?? 0;
    const {value} = series;
    const added = value >= previous ? value - previous : value;
    result.set(key, {...series, value: added});
  }
  return result;
}
