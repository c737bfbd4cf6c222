import type * as logLines from './log-lines.js';

/** Events that record a change of the state on which a daemon decides. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
  'configuration-in-force',
  'daemon-started',
  'daemon-stopping',
  'platform-lost',
  'platform-regained',
  'standstill-suspected',
  'state-adopted-from-peer',
]);

/** Log lines that concern one request, from the logs of several daemons. */
export interface RequestTrace {
  /** Lines with the id of the request, ordered by time. */
  readonly decisions: readonly logLines.LogLine[];
  /**
   * For each host in `decisions`, the last line of each state event up to the
   * first decision of that host.
   */
  readonly state: readonly logLines.LogLine[];
}

/** Builds the trace of one request from the log lines of all daemons. */
export class RequestTraceBuilder {
  private readonly decisions: logLines.LogLine[] = [];
  private readonly stateChanges: logLines.LogLine[] = [];

  constructor(private readonly requestId: string) {}

  /** Adds a line; lines may be added in any order. */
  add(line: logLines.LogLine): void {
    if (line.requestId === this.requestId) this.decisions.push(line);
    else if (STATE_EVENTS.has(line.event)) this.stateChanges.push(line);
  }

  build(): RequestTrace {
    const decisions = [...this.decisions].sort(compareByTime);
    const firstDecisionMs = new Map<string, number>();
    for (const {host, timeMs} of decisions) {
      if (!firstDecisionMs.has(host)) firstDecisionMs.set(host, timeMs);
    }
    const lastChanges = new Map<string, logLines.LogLine>();
    for (const change of [...this.stateChanges].sort(compareByTime)) {
      const firstMs = firstDecisionMs.get(change.host);
      if (firstMs === undefined || change.timeMs > firstMs) continue;
      lastChanges.set(`${change.host} ${change.event}`, change);
    }
    return {decisions, state: [...lastChanges.values()].sort(compareByTime)};
  }
}

function compareByTime(
  left: logLines.LogLine,
  right: logLines.LogLine,
): number {
  return left.timeMs - right.timeMs;
}
