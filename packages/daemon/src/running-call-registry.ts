import type * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';

/** Random bytes in a handle, so that it cannot be guessed. */
const HANDLE_BYTES = 18;

/** A call that the local backend server is processing. */
export interface RunningCall {
  readonly handle: string;
  readonly context: protocol.CallContext;
  readonly deadlineMs: number;
  readonly budget: admission.RetryBudget;
  /** Aborted when the call is cancelled or has ended. */
  readonly signal: AbortSignal;
  /** Number of downstream calls so far, for unique request ids. */
  children: number;
}

/**
 * Calls in flight at the local backend server by opaque handle. The backend
 * server sends the handle with its downstream calls. Entries are removed when
 * their calls end, so the concurrency limit of the target bounds the size.
 */
export class RunningCallRegistry {
  private readonly calls = new Map<string, RunningCall>();

  constructor(private readonly random: runtime.RandomSource) {}

  register(call: Omit<RunningCall, 'handle' | 'children'>): RunningCall {
    const handle = runtime.randomIdentifier(this.random, HANDLE_BYTES);
    const runningCall: RunningCall = {...call, handle, children: 0};
    this.calls.set(handle, runningCall);
    return runningCall;
  }

  find(handle: string): RunningCall | undefined {
    return this.calls.get(handle);
  }

  remove(handle: string): void {
    this.calls.delete(handle);
  }

  get size(): number {
    return this.calls.size;
  }
}
