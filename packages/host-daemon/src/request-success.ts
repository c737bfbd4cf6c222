import * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import * as refusedRuns from './refused-runs.js';
import type * as routedRequest from './routed-request.js';
import type * as targetCall from './target-call.js';

/**
 * Refusals that say that a service cannot take the calls sent to it. The others
 * concern this host or the time that the request has left.
 */
const REFUSALS_OF_SERVICE: ReadonlySet<protocol.RefusalReasonName> = new Set([
  'noTarget',
  'overloaded',
  'queueFull',
  'targetUnavailable',
] as const);

export type NestedRequest = Pick<
  routedRequest.RoutedRequest,
  'clientDeadlineMs' | 'deadlineMs' | 'service'
>;

export interface RequestSuccessOptions {
  readonly clock: Pick<runtime.Clock, 'monotonicMs'>;
  readonly metrics: Pick<runtime.Metrics, 'count'>;
  /** Requests of routes with a lower probability of success are refused. */
  readonly minimumSuccess: number;
  readonly index: () => Pick<
    routing.ConfigurationIndex,
    'configuration'
  > | null;
}

/**
 * What this daemon knows of the success of requests. Beside a backend server, it
 * tells which runs failed because a nested call was refused. Where requests
 * enter, it refuses those without a chance of success.
 */
export class RequestSuccess {
  private readonly runs = new refusedRuns.RefusedRuns();
  private readonly admission: admission.SuccessAdmission;

  constructor(private readonly options: RequestSuccessOptions) {
    this.admission = new admission.SuccessAdmission(options.minimumSuccess);
  }

  /** Records that the local backend server starts a call. */
  noteStart(call: object, deadlineMs: number): void {
    this.runs.start(call, deadlineMs);
  }

  /**
   * Ends a call whose start was recorded. Returns its result, for a failure
   * with the service that refused a nested call.
   */
  withCause(
    call: object,
    result: targetCall.CallResult,
  ): targetCall.CallResult {
    const hasFailed = result.kind === 'answer' ? result.status >= 500 : null;
    const refusedBy = this.runs.end(call, hasFailed);
    return refusedBy !== null && result.kind === 'answer'
      ? {...result, refusedBy}
      : result;
  }

  /** Records the final result of a request that the local server makes. */
  noteNested(request: NestedRequest, result: targetCall.CallResult): void {
    const {clientDeadlineMs, deadlineMs, service} = request;
    const refusedBy = this.refusingService(service, result);
    if (refusedBy === null) return;
    this.runs.noteRefusal(clientDeadlineMs ?? deadlineMs, refusedBy);
  }

  decide(request: admission.SuccessRequest): admission.SuccessDecision {
    return this.admission.decide(request, this.options.clock.monotonicMs());
  }

  /** Returns the refusal of requests of the route now, and changes nothing. */
  preview(
    route: string,
    nowMs: number,
  ): (admission.SuccessDecision & {kind: 'refuse'}) | null {
    return this.admission.preview(route, nowMs);
  }

  /** Records the result of a request that entered here. */
  noteEnd(
    {name}: Pick<routing.Route, 'name'>,
    start: admission.StartKind,
    result: targetCall.CallResult | null,
  ): void {
    const nowMs = this.options.clock.monotonicMs();
    this.admission.noteEnd(name, start, this.requestEnd(result), nowMs);
  }

  private requestEnd(
    result: targetCall.CallResult | null,
  ): admission.RequestEnd {
    if (result?.kind !== 'answer') return {kind: 'other'};
    if (result.status < 500) return {kind: 'succeeded'};
    const service = this.knownService(result.refusedBy);
    return service === null ? {kind: 'other'} : {kind: 'failedBelow', service};
  }

  /** Returns the service because of which a nested request has failed. */
  private refusingService(
    service: string,
    result: targetCall.CallResult,
  ): string | null {
    switch (result.kind) {
      case 'refused':
        return REFUSALS_OF_SERVICE.has(result.reason) ? service : null;
      case 'answer':
        return result.status < 500 ? null : this.knownService(result.refusedBy);
      case 'unknown':
        return null;
    }
  }

  /** Returns null for a name that no route leads to; peers send it. */
  private knownService(name: unknown): string | null {
    if (name === undefined) return null;
    const routes = this.options.index()?.configuration.routes ?? [];
    const isKnown = routes.some(({destinations}) =>
      destinations.some(({service}) => service === name),
    );
    if (isKnown) return name as string;
    this.options.metrics.count(
      'refusal_causes_rejected_total',
      'Failures whose cause, as named by a peer, is not a known service.',
    );
    return null;
  }
}
