import type * as admission from '@camphorwharf/admission';
import * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as protocol from '@camphorwharf/protocol';
import * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as attemptOutcome from './attempt-outcome.js';
import * as retryDecision from './retry-decision.js';
import type * as requestCosts from './request-costs.js';
import type * as requestSuccess from './request-success.js';
import type * as routedRequest from './routed-request.js';
import * as learnedWork from './learned-work.js';
import * as requestLogger from './request-logger.js';
import type * as fleetState from './fleet-state.js';
import type * as workScheduler from './work-scheduler.js';
import * as targetCall from './target-call.js';
import type * as targetClient from './target-client.js';

/** After a refusal, targets with at least this load are not tried. */
const MAXIMUM_ALTERNATIVE_LOAD = 0.9;

/** Retry delay for callers when the target gives none. */
const DEFAULT_RETRY_AFTER_MS = 300;

export interface RequestForwarderOptions {
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
  readonly requestLog: requestLogger.RequestLogger;
  readonly scheduler: workScheduler.WorkScheduler;
  readonly state: fleetState.FleetState;
  readonly loadBalancer: routing.TargetBalancer;
  readonly client: targetClient.TargetClient;
  /** Pressure of the services that the local backend server calls. */
  readonly downstream: admission.DownstreamPressure;
  /**
   * Downstream pressure reported by the services that this host sends requests
   * to.
   */
  readonly entryPressure: admission.PressureTable;
  /** Absent unless requests are admitted by their costs. */
  readonly costs?: requestCosts.RequestCosts;
  /** Absent unless requests without a chance of success are refused. */
  readonly success?: Pick<requestSuccess.RequestSuccess, 'noteNested'>;
  readonly retryBudget: fleetLimits.RetryBudgetSettings;
  readonly hostCount: () => number;
}

/**
 * Sends requests of packages/host-daemon to targets and retries them. A request
 * that must not run twice is sent to another target only if it is certain that
 * the first never runs it. `CallRouter` of packages/daemon sends every attempt
 * through a peer connection; this class runs those for its own host directly.
 */
export class RequestForwarder {
  private readonly budgets = new Map<string, fleetLimits.FleetRetryBudget>();
  private readonly retryDecision: retryDecision.RetryDecision;
  private readonly learned: learnedWork.LearnedWork;

  constructor(private readonly options: RequestForwarderOptions) {
    this.retryDecision = new retryDecision.RetryDecision(options);
    this.learned = new learnedWork.LearnedWork(options.loadBalancer);
  }

  async forward(
    request: routedRequest.RoutedRequest,
  ): Promise<targetCall.CallResult> {
    const result = await this.sendAttempts(request);
    if (request.nested) this.options.success?.noteNested(request, result);
    return result;
  }

  private async sendAttempts(
    request: routedRequest.RoutedRequest,
  ): Promise<targetCall.CallResult> {
    const {clock, costs, downstream} = this.options;
    const nowMs = clock.monotonicMs();
    if (request.nested) {
      downstream.noteCall(request.service, nowMs);
      costs?.noteNestedCall(request.route.name, nowMs);
    }
    const budget = this.retryBudgetFor(request.service);
    budget.noteFirstAttempt(nowMs);
    const excluded = new Set<string>();
    let executedResult: targetCall.CallResult | null = null;
    let lastResult: targetCall.CallResult | null = null;
    let refusals = 0;
    let executions = 0;
    for (;;) {
      const server = this.selectTarget(request, excluded, refusals);
      if (!server) break;
      excluded.add(server.instance);
      const attempt = await this.sendAttempt(request, server, excluded.size);
      const {cancelVerdict, result} = attempt;
      if (cancelVerdict !== undefined) {
        this.logAttempt(
          'cancel-query-answered',
          request,
          server,
          excluded.size,
          {
            verdict: cancelVerdict,
          },
        );
      }
      switch (result.kind) {
        case 'answer':
          if (result.status < 500) {
            if (request.nested) costs?.noteNestedAnswer(request.deadlineMs);
            return result;
          }
          lastResult = executedResult = {
            ...result,
            instance: server.instance,
            refusedBy: result.refusedBy ?? attempt.load?.refusedBy,
          };
          if (
            !retryDecision.mayRetryServerError(
              request,
              result.status,
              executions,
            )
          ) {
            return lastResult;
          }
          executions++;
          break;
        case 'refused':
          lastResult = executedResult ?? result;
          refusals++;
          break;
        case 'unknown':
          lastResult = executedResult = {...result, instance: server.instance};
          executions++;
          break;
      }
      const mayRetry = await this.retryDecision.mayRetry(
        request,
        result,
        refusals,
        executions,
        budget,
      );
      if (!mayRetry) break;
      const scheduling = await this.options.scheduler.schedule(
        'retry',
        request.signal,
        request.deadlineMs,
      );
      if (scheduling !== 'start') break;
      this.options.metrics.count(
        'retries_total',
        'Attempts after the first, by the reason of the failure before.',
        {reason: failureReason(result)},
      );
      this.logAttempt('request-retried', request, server, excluded.size, {
        reason: failureReason(result),
        concludedBy: attempt.concludedBy,
      });
    }
    if (lastResult === null) {
      return targetCall.refusedResult('noTarget', DEFAULT_RETRY_AFTER_MS);
    }
    // All servers of the service are leaving, so an immediate retry is in vain.
    const isLeaving =
      lastResult.kind === 'refused' && lastResult.reason === 'targetLeaving';
    return isLeaving
      ? targetCall.refusedResult('targetLeaving', DEFAULT_RETRY_AFTER_MS)
      : lastResult;
  }

  /**
   * Returns the candidates for a request that is sent now, without sending one;
   * `random` is used by nothing else.
   */
  previewTargets(
    service: string,
    route: routing.Route,
    random: runtime.RandomSource,
    nowMs: number,
  ): routing.CandidatePreview[] {
    const {loadBalancer, state} = this.options;
    return routing.TargetPreview.of(loadBalancer, random).preview(
      state.directory.candidates(service),
      candidate => state.directory.coldUntilMs(candidate.instance),
      nowMs,
      this.learned.expected(service, route),
      route.idempotent,
    );
  }

  private selectTarget(
    request: routedRequest.RoutedRequest,
    excluded: ReadonlySet<string>,
    refusals: number,
  ): routing.BackendServer | null {
    const {loadBalancer, clock, state} = this.options;
    const nowMs = clock.monotonicMs();
    const server = loadBalancer.choose(
      state.directory.candidates(request.service),
      excluded,
      candidate => state.directory.coldUntilMs(candidate.instance),
      nowMs,
      this.learned.expected(request.service, request.route),
      excluded.size === 0 && mayRepeat(request),
    );
    if (!server || refusals === 0) return server;
    // Trying one full target after another only delays the refusal.
    return loadBalancer.loadShare(server, nowMs) < MAXIMUM_ALTERNATIVE_LOAD &&
      !loadBalancer.isColdExhausted(server)
      ? server
      : null;
  }

  private async sendAttempt(
    request: routedRequest.RoutedRequest,
    server: routing.BackendServer,
    attemptNumber: number,
  ): Promise<attemptOutcome.AttemptOutcome> {
    const {loadBalancer, clock} = this.options;
    loadBalancer.noteStart(server.instance);
    const sentMs = clock.monotonicMs();
    const attempt = await this.options.client.send(
      request,
      server,
      attemptNumber,
    );
    const nowMs = clock.monotonicMs();
    loadBalancer.noteEnd(
      server.instance,
      targetOutcome(request, attempt.result),
      attempt.load,
      nowMs,
    );
    if (attempt.load) this.recordPressure(request, attempt.load, nowMs);
    this.learned.noteAttempt(request, server, attempt, sentMs, nowMs);
    if (attempt.unreachable) {
      loadBalancer.noteUnreachable(server.instance, nowMs);
    }
    const {result} = attempt;
    if (result.kind === 'refused' && result.reason === 'targetLeaving') {
      loadBalancer.noteLeaving(server.instance, true);
    }
    return attempt;
  }

  private logAttempt(
    event: string,
    request: routedRequest.RoutedRequest,
    server: routing.BackendServer,
    attempt: number,
    fields: runtime.LogFields,
  ): void {
    const {requestId, route} = request;
    const {idempotent} = route;
    this.options.requestLog.log(
      event,
      {requestId, attempt, instance: server.instance, idempotent, ...fields},
      requestLogger.attemptBudget(route),
    );
  }

  private recordPressure(
    request: routedRequest.RoutedRequest,
    load: protocol.ReportedLoad,
    nowMs: number,
  ): void {
    const {costs, downstream, entryPressure} = this.options;
    const {route, service} = request;
    costs?.notePressure(service, load, nowMs);
    if (load.costs !== undefined) costs?.noteCosts(route.name, load.costs);
    if (request.nested) downstream.update(service, load.pressure ?? 0, nowMs);
    else entryPressure.update(service, load.downstreamPressure ?? 0, nowMs);
  }

  private retryBudgetFor(service: string): fleetLimits.FleetRetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      budget = new fleetLimits.FleetRetryBudget(
        this.options.retryBudget,
        this.options.hostCount,
        this.options.clock.monotonicMs(),
      );
      this.budgets.set(service, budget);
    }
    return budget;
  }
}

function targetOutcome(
  request: routedRequest.RoutedRequest,
  result: targetCall.CallResult,
): routing.TargetOutcome {
  if (request.signal.aborted) return 'cancelled';
  switch (result.kind) {
    case 'answer':
      return result.status >= 500 ? 'failed' : 'succeeded';
    case 'refused':
      return 'refused';
    case 'unknown':
      return 'failed';
  }
}

/** Whether a failing target may be tried with the request. */
function mayRepeat({body, route}: routedRequest.RoutedRequest): boolean {
  return route.idempotent && (body === null || body instanceof Uint8Array);
}

function failureReason(result: targetCall.CallResult): string {
  return result.kind === 'answer' ? `status${result.status}` : result.reason;
}
