import type * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as runtime from '@camphorwharf/runtime';
import * as refusalRetries from './refusal-retries.js';
import type * as routedRequest from './routed-request.js';
import type * as targetCall from './target-call.js';

/** With less time left than this, another attempt cannot succeed. */
const MINIMUM_REMAINING_MS = 20;

export interface RetryDecisionOptions
  extends refusalRetries.RefusalRetriesOptions {
  readonly metrics: runtime.Metrics;
}

/**
 * Decides whether a failed request is sent to another backend server. A request
 * that must not run twice is sent again only if it is certain that no earlier
 * target runs it.
 */
export class RetryDecision {
  private readonly refusalRetries: refusalRetries.RefusalRetries;

  constructor(private readonly options: RetryDecisionOptions) {
    this.refusalRetries = new refusalRetries.RefusalRetries(options);
  }

  /**
   * Resolves with whether to send a request to another backend server after
   * this result. Counts retries that are not made for want of budget.
   */
  async mayRetry(
    request: routedRequest.RoutedRequest,
    result: targetCall.CallResult,
    refusals: number,
    executions: number,
    budget: fleetLimits.FleetRetryBudget,
  ): Promise<boolean> {
    const nowMs = this.options.clock.monotonicMs();
    if (request.signal.aborted) return false;
    if (request.deadlineMs - nowMs < MINIMUM_REMAINING_MS) return false;
    if (request.body !== null && !(request.body instanceof Uint8Array)) {
      return false;
    }
    if (result.kind === 'refused') {
      if (
        result.reason === 'cancelled' ||
        result.reason === 'deadlineExpired'
      ) {
        return false;
      }
      // A refusal by a daemon has cost its backend server no work.
      const {MAXIMUM_REFUSALS} = refusalRetries;
      if (!result.byServer) return refusals < MAXIMUM_REFUSALS;
      if (await this.refusalRetries.mayRetry(request, refusals, budget)) {
        return true;
      }
      if (refusals >= MAXIMUM_REFUSALS) return false;
    } else {
      if (!request.route.idempotent) return false;
      if (executions >= request.route.maximumAttempts) return false;
      if (budget.tryFailureRetry(nowMs)) return true;
    }
    this.options.metrics.count(
      'retries_denied_total',
      'Retries not made because the retry budget was spent.',
    );
    return false;
  }
}

/**
 * Whether to retry at another backend server after a 5xx status. After 504 no
 * time is left. Only nested requests are retried: clients retry their own
 * requests, backend servers do not retry the calls they make.
 */
export function mayRetryServerError(
  request: routedRequest.RoutedRequest,
  status: number,
  executions: number,
): boolean {
  return (
    status !== 504 &&
    request.route.idempotent &&
    executions + 1 < request.route.maximumAttempts &&
    request.nested
  );
}
