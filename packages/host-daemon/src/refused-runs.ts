/**
 * A backend server passes the remaining time of a request on to its nested
 * calls, in whole milliseconds; the rest is the time between the two processes.
 */
const DEADLINE_TOLERANCE_MS = 4;

/** A nested call that was refused and not run elsewhere. */
interface Refusal {
  readonly service: string;
  /** Whether a run that had it has failed or has ended well in spite of it. */
  isSettled: boolean;
}

interface Run {
  readonly deadlineMs: number;
  readonly refusals: Refusal[];
}

/**
 * Which runs of the local backend server failed because a nested call was
 * refused. A nested call does not name its run, but has the same deadline; of
 * several such runs, the first that fails is taken for the one that made it,
 * unless one of them has ended well before: it may have tolerated the refusal.
 */
export class RefusedRuns {
  private readonly runs = new Map<object, Run>();

  start(call: object, deadlineMs: number): void {
    this.runs.set(call, {deadlineMs, refusals: []});
  }

  /** Records that the service refused a nested call with the deadline. */
  noteRefusal(deadlineMs: number, service: string): void {
    const refusal = {service, isSettled: false};
    for (const run of this.runs.values()) {
      const differenceMs = Math.abs(run.deadlineMs - deadlineMs);
      if (differenceMs <= DEADLINE_TOLERANCE_MS) run.refusals.push(refusal);
    }
  }

  /**
   * Ends a run. Returns the service that refused one of its nested calls if it
   * has failed, or else null. `hasFailed` is null if its outcome is not known.
   */
  end(call: object, hasFailed: boolean | null): string | null {
    const run = this.runs.get(call);
    this.runs.delete(call);
    if (!run || hasFailed === null) return null;
    if (!hasFailed) {
      for (const refusal of run.refusals) refusal.isSettled = true;
      return null;
    }
    const refusal = run.refusals.find(({isSettled}) => !isSettled);
    if (!refusal) return null;
    refusal.isSettled = true;
    return refusal.service;
  }
}
