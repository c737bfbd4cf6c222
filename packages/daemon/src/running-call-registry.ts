import type * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';

/** Bytes of randomness in a handle; makes a handle unguessable. */
const HANDLE_BYTES = 18;

/** A call that the local backend server is serving. */
export interface RunningCall {
  readonly handle: string;
  readonly context: protocol.CallContext;
  readonly deadlineMs: number;
  readonly budget: admission.RetryBudget;
  /** Aborted when the call is cancelled or has ended. */
  readonly signal: AbortSignal;
  /** Number of downstream calls so far; makes their request ids unique. */
  children: number;
}

/**
 * Calls in flight at the local backend server, by the opaque handle that the
 * backend server presents on its downstream calls. Bounded by the
 * concurrency limit of the target, because an entry lives as long as its call.
 */
export class RunningCalls {
  private readonly calls = new Map<string, RunningCall>();

  constructor(private readonly random: runtime.RandomSource) {}

  add(call: Omit<RunningCall, 'handle' | 'children'>): RunningCall {
    const handle = runtime.randomIdentifier(this.random, HANDLE_BYTES);
    const running: RunningCall = {...call, handle, children: 0};
    this.calls.set(handle, running);
    return running;
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
