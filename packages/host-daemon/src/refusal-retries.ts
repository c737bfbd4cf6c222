import * as admission from '@camphorwharf/admission';
import type * as runtime from '@camphorwharf/runtime';
import type * as requestCosts from './request-costs.js';
import type * as routedRequest from './routed-request.js';

/**
 * Number of daemons that may refuse a request before the client gets a refusal.
 * Late calls of a run may be refused more often.
 */
export const MAXIMUM_REFUSALS = 3;

/** Interval at which waiting calls are served, in milliseconds. */
const QUEUE_CHECK_INTERVAL_MS = 10;

interface WaitingCall {
  resolve(isRetried: boolean): void;
}

type RetriedRequest = Pick<
  routedRequest.RoutedRequest,
  'deadlineMs' | 'nested' | 'service' | 'signal'
>;

export interface RefusalRetriesOptions {
  readonly clock: runtime.Clock;
  /** Absent unless requests are admitted by their costs. */
  readonly costs?: Pick<requestCosts.RequestCosts, 'progressOf'>;
}

/** Retries of calls that a backend server has refused without running them. */
export class RefusalRetries {
  private readonly queues = new Map<
    string,
    admission.RetryPrecedence<WaitingCall>
  >();
  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly options: RefusalRetriesOptions) {}

  /**
   * Resolves with whether the call may be sent to another server. Without
   * learned costs, the budget alone decides, in the order of the refusals.
   */
  async mayRetry(
    request: RetriedRequest,
    refusals: number,
    budget: admission.RetryTokens,
  ): Promise<boolean> {
    const {clock, costs} = this.options;
    const nowMs = clock.monotonicMs();
    if (!costs || !request.nested) {
      return refusals < MAXIMUM_REFUSALS && budget.tryRefusalRetry(nowMs);
    }
    const {deadlineMs, service, signal} = request;
    let queue = this.queues.get(service);
    if (!queue) {
      queue = new admission.RetryPrecedence(budget);
      this.queues.set(service, queue);
    }
    const run = costs.progressOf(deadlineMs, nowMs);
    const waitingCall: WaitingCall = {resolve: () => undefined};
    const verdict = queue.offer(
      waitingCall,
      {run, refusals, deadlineMs},
      nowMs,
    );
    switch (verdict) {
      case 'retry':
        return true;
      case 'giveUp':
        return false;
      case 'wait':
        return this.wait(queue, waitingCall, signal);
    }
  }

  private wait(
    queue: admission.RetryPrecedence<WaitingCall>,
    waitingCall: WaitingCall,
    signal: runtime.CancelSignal,
  ): Promise<boolean> {
    this.timer ??= setInterval(() => this.advance(), QUEUE_CHECK_INTERVAL_MS);
    return new Promise(resolve => {
      const onAbort = () => {
        queue.abandon(waitingCall);
        resolve(false);
      };
      waitingCall.resolve = isRetried => {
        signal.removeEventListener('abort', onAbort);
        resolve(isRetried);
      };
      if (signal.aborted) onAbort();
      else signal.addEventListener('abort', onAbort);
    });
  }

  private advance(): void {
    const nowMs = this.options.clock.monotonicMs();
    let waitingCount = 0;
    for (const queue of this.queues.values()) {
      const {givenUp, retried} = queue.advance(nowMs);
      for (const call of retried) call.resolve(true);
      for (const call of givenUp) call.resolve(false);
      waitingCount += queue.waitingCount;
    }
    if (waitingCount > 0 || !this.timer) return;
    clearInterval(this.timer);
    this.timer = null;
  }
}
