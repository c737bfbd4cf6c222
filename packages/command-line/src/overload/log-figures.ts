import * as logLines from '../log-lines.js';
import * as snapshots from './snapshot.js';

/** Outcome of the requests that a line of the event is about. */
const OUTCOMES: Readonly<Record<string, string>> = {
  'request-refused': 'refused',
  'request-unknown': 'failed',
  'request-failed-at-backend-server': 'failed',
  'request-abandoned': 'abandoned',
};

/**
 * Counts the requests that log lines are about: those that were not answered.
 * Their number is bounded, so that lines are missing under overload.
 */
export class LogFigures {
  private readonly total = new snapshots.SnapshotSum();
  private readonly intervals = new Map<number, snapshots.SnapshotSum>();
  /** Log lines of daemons, also those about other events. */
  allLines = 0;
  /** Lines about requests. */
  lines = 0;
  /** Lines that the daemons say they have left out or dropped. */
  missingLines = 0;

  /** The counts of each interval of `intervalMs` are kept as well. */
  constructor(readonly intervalMs: number) {}

  get snapshot(): snapshots.Snapshot {
    return this.total.snapshot;
  }

  /**
   * Returns the counts of all intervals in order, also of those without lines,
   * or null if there are more than `maximum`.
   */
  byInterval(maximum: number): snapshots.Snapshot[] | null {
    const starts = [...this.intervals.keys()];
    const firstMs = starts.reduce((least, ms) => Math.min(least, ms), Infinity);
    const lastMs = starts.reduce((most, ms) => Math.max(most, ms), -Infinity);
    if ((lastMs - firstMs) / this.intervalMs >= maximum) return null;
    const counts: snapshots.Snapshot[] = [];
    for (let atMs = firstMs; atMs <= lastMs; atMs += this.intervalMs) {
      counts.push(this.intervals.get(atMs)?.snapshot ?? new Map());
    }
    return counts;
  }

  /** Adds a line of text; returns false if it is no log line of a daemon. */
  addLine(text: string): boolean {
    const line = logLines.parseLogLine(text, '');
    if (!line) {
      // This line has no time.
      const dropped = /"event":"log-lines-dropped","count":(\d+)/.exec(text);
      if (dropped) this.missingLines += Number(dropped[1]);
      if (dropped) this.allLines++;
      return dropped !== null;
    }
    this.allLines++;
    const {event, fields, timeMs} = line;
    if (typeof fields.omitted === 'number') this.missingLines += fields.omitted;
    const outcome = OUTCOMES[event];
    if (outcome === undefined) return true;
    this.lines++;
    const nested = fields.nested === true;
    const ended: Readonly<Record<string, string>> =
      outcome === 'refused'
        ? {outcome, place: name(fields.place), reason: name(fields.reason)}
        : {outcome};
    const route = name(fields.route);
    this.add(timeMs, 'route_requests_ended_total', {
      route,
      nested: String(nested),
      ...ended,
    });
    if (nested) return true;
    const organisation = name(fields.organisation);
    this.add(timeMs, 'organisation_requests_ended_total', {
      organisation,
      ...ended,
    });
    return true;
  }

  private add(
    timeMs: number,
    counter: string,
    labels: Readonly<Record<string, string>>,
  ): void {
    const key = `${counter}${JSON.stringify(labels)}`;
    const series = {name: counter, labels, value: 1};
    this.total.add(key, series);
    const startMs = Math.floor(timeMs / this.intervalMs) * this.intervalMs;
    let interval = this.intervals.get(startMs);
    if (!interval) {
      interval = new snapshots.SnapshotSum();
      this.intervals.set(startMs, interval);
    }
    interval.add(key, series);
  }
}

function name(value: unknown): string {
  return typeof value === 'string' ? value : '';
}
