import type * as admission from '@camphorwharf/admission';

/**
 * A backend server passes the remaining time of a request on to its nested
 * calls, in whole milliseconds; the rest is the time between the two processes.
 */
const DEADLINE_TOLERANCE_MS = 4;

interface Run {
  readonly route: string;
  readonly deadlineMs: number;
  completedCalls: number;
}

/**
 * The requests that the local backend server is running. A nested call does not
 * name its run; it belongs to the only one with the same deadline, if there is
 * exactly one.
 */
export class RunningRuns {
  private readonly runs = new Map<object, Run>();

  start(call: object, route: string, deadlineMs: number): void {
    this.runs.set(call, {route, deadlineMs, completedCalls: 0});
  }

  /** Returns the route of the run, or null if it is not known. */
  end(call: object): string | null {
    const route = this.runs.get(call)?.route ?? null;
    this.runs.delete(call);
    return route;
  }

  /** Records that a nested call with the deadline was answered. */
  noteCompletedCall(deadlineMs: number): void {
    const run = this.find(deadlineMs);
    if (run) run.completedCalls++;
  }

  /** Returns null if the run that makes the call is not known. */
  progressOf(
    deadlineMs: number,
    expectedCalls: (route: string) => number,
  ): admission.RunProgress | null {
    const run = this.find(deadlineMs);
    if (!run) return null;
    const {completedCalls, route} = run;
    return {completedCalls, expectedCalls: expectedCalls(route)};
  }

  private find(deadlineMs: number): Run | null {
    let found: Run | null = null;
    for (const run of this.runs.values()) {
      const differenceMs = Math.abs(run.deadlineMs - deadlineMs);
      if (differenceMs > DEADLINE_TOLERANCE_MS) continue;
      if (found) return null;
      found = run;
    }
    return found;
  }
}
