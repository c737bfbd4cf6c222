import type * as logLines from './log-lines.js';

/** Events that tell what a daemon believed when it decided. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
  'configuration-in-force',
  'daemon-started',
  'daemon-stopping',
  'platform-lost',
  'platform-regained',
  'state-adopted-from-peer',
]);

/** What the logs of some daemons say of one request. */
export interface RequestTrace {
  /** Lines on the request, in order of time. */
  readonly decisions: readonly logLines.LogLine[];
  /** The last change of each kind before, at the hosts that decided. */
  readonly state: readonly logLines.LogLine[];
}

/** Collects the lines of one request from those of all daemons. */
export class RequestTracer {
  private readonly decisions: logLines.LogLine[] = [];
  private readonly changes: logLines.LogLine[] = [];

  constructor(private readonly requestId: string) {}

  /** Takes lines in any order. */
  add(line: logLines.LogLine): void {
    if (line.requestId === this.requestId) this.decisions.push(line);
    else if (STATE_EVENTS.has(line.event)) this.changes.push(line);
  }

  result(): RequestTrace {
    const decisions = [...this.decisions].sort(byTime);
    const firstAtHost = new Map<string, number>();
    for (const {host, timeMs} of decisions) {
      if (!firstAtHost.has(host)) firstAtHost.set(host, timeMs);
    }
    const last = new Map<string, logLines.LogLine>();
    for (const change of [...this.changes].sort(byTime)) {
      const firstMs = firstAtHost.get(change.host);
      if (firstMs === undefined || change.timeMs > firstMs) continue;
      last.set(`${change.host} ${change.event}`, change);
    }
    return {decisions, state: [...last.values()].sort(byTime)};
  }
}

function byTime(one: logLines.LogLine, other: logLines.LogLine): number {
  return one.timeMs - other.timeMs;
}
