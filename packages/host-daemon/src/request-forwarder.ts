import type * as admission from '@camphorwharf/admission';
import * as fleetLimits from '@camphorwharf/fleet-limits';
import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as callerRequest from './caller-request.js';
import type * as decisionLog from './decision-log.js';
import type * as fleetState from './fleet-state.js';
import type * as startGate from './start-gate.js';
import * as targetCall from './target-call.js';
import type * as targetSender from './target-sender.js';

/** Daemons that may refuse a request before it is refused to the client. */
const MAXIMUM_REFUSALS = 3;

/** A target above this load share is not asked after another has refused. */
const ALTERNATIVE_LOAD_SHARE = 0.9;

/** Less time than this is of no use to another target. */
const MINIMUM_ATTEMPT_MS = 20;

/** When callers come back if nothing tells the time. */
const DEFAULT_RETRY_AFTER_MS = 300;

export interface RequestForwarderOptions {
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
  readonly decisions: decisionLog.DecisionLog;
  readonly gate: startGate.StartGate;
  readonly state: fleetState.FleetState;
  readonly board: routing.TargetBoard;
  readonly sender: targetSender.TargetSender;
  /** Pressure of the services that the local backend server calls. */
  readonly downstream: admission.DownstreamPressure;
  /** Pressure below the services that requests of this host go to. */
  readonly entry: admission.PressureTable;
  readonly retryBudget: fleetLimits.RetryBudgetSettings;
  readonly hostCount: () => number;
}

/**
 * Sends requests to targets. A request that may run only once goes to a
 * second target only on proof that the first never runs it.
 */
export class RequestForwarder {
  private readonly budgets = new Map<string, fleetLimits.FleetRetryBudget>();

  constructor(private readonly options: RequestForwarderOptions) {}

  async forward(
    request: callerRequest.CallerRequest,
  ): Promise<targetCall.TargetAnswer> {
    const {clock, downstream} = this.options;
    const nowMs = clock.monotonicMs();
    if (request.nested) downstream.noteCall(request.service, nowMs);
    const budget = this.budget(request.service);
    budget.noteFirstAttempt(nowMs);
    const excluded = new Set<string>();
    let doubt: targetCall.TargetAnswer | null = null;
    let last: targetCall.TargetAnswer | null = null;
    let refusals = 0;
    let executions = 0;
    for (;;) {
      const server = this.choose(request, excluded, refusals);
      if (!server) break;
      excluded.add(server.instance);
      const attempt = await this.attempt(request, server, excluded.size);
      const {result} = attempt;
      switch (result.kind) {
        case 'answer':
          if (result.status < 500) return result;
          last = doubt = {...result, instance: server.instance};
          if (!this.repeatsFailure(request, result.status, executions)) {
            return last;
          }
          executions++;
          break;
        case 'refused':
          last = doubt ?? result;
          refusals++;
          break;
        case 'unknown':
          last = doubt = {...result, instance: server.instance};
          executions++;
          break;
      }
      if (!this.mayContinue(request, result, refusals, executions, budget)) {
        break;
      }
      const start = await this.options.gate.pass(
        'retry',
        request.signal,
        request.deadlineMs,
      );
      if (start !== 'start') break;
      this.options.metrics.count(
        'retries_total',
        'Attempts after the first, by the reason of the failure before.',
        {reason: reasonOf(result)},
      );
      this.options.decisions.note('request-retried', {
        requestId: request.requestId,
        instance: server.instance,
        reason: reasonOf(result),
      });
    }
    return last ?? targetCall.refusedCall('noTarget', DEFAULT_RETRY_AFTER_MS);
  }

  private choose(
    request: callerRequest.CallerRequest,
    excluded: ReadonlySet<string>,
    refusals: number,
  ): routing.BackendServer | null {
    const {board, clock, state} = this.options;
    const nowMs = clock.monotonicMs();
    const server = board.choose(
      state.directory.candidates(request.service),
      excluded,
      candidate => state.directory.coldUntil(candidate.instance),
      nowMs,
    );
    if (!server || refusals === 0) return server;
    // Asking one full target after the other delays the refusal.
    return board.loadShare(server, nowMs) < ALTERNATIVE_LOAD_SHARE
      ? server
      : null;
  }

  /**
   * Whether to ask another backend server after a failure, a status of 500 or
   * above. After 504 no time is left; the client of a request repeats it
   * itself, but a backend server that makes a call does not.
   */
  private repeatsFailure(
    request: callerRequest.CallerRequest,
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

  private mayContinue(
    request: callerRequest.CallerRequest,
    result: targetCall.TargetAnswer,
    refusals: number,
    executions: number,
    budget: fleetLimits.FleetRetryBudget,
  ): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (request.signal.aborted) return false;
    if (request.deadlineMs - nowMs < MINIMUM_ATTEMPT_MS) return false;
    if (request.body !== null && !(request.body instanceof Uint8Array)) {
      return false;
    }
    if (result.kind === 'refused') {
      if (
        refusals >= MAXIMUM_REFUSALS ||
        result.reason === 'cancelled' ||
        result.reason === 'deadlineExpired'
      ) {
        return false;
      }
      // A refusal of a daemon has cost its backend server nothing.
      if (!result.byServer || budget.tryResend(nowMs)) return true;
    } else {
      if (!request.route.idempotent) return false;
      if (executions >= request.route.maximumAttempts) return false;
      if (budget.tryRepeat(nowMs)) return true;
    }
    this.options.metrics.count(
      'retries_denied_total',
      'Retries not made because the retry budget was spent.',
    );
    return false;
  }

  private async attempt(
    request: callerRequest.CallerRequest,
    server: routing.BackendServer,
    number: number,
  ): Promise<targetSender.Attempt> {
    const {board, clock} = this.options;
    board.noteStart(server.instance);
    const attempt = await this.options.sender.send(request, server, number);
    const nowMs = clock.monotonicMs();
    board.noteEnd(
      server.instance,
      outcomeOf(request, attempt.result),
      attempt.load,
      nowMs,
    );
    if (attempt.load) this.learnPressure(request, attempt.load, nowMs);
    if (attempt.unreachable) {
      board.noteUnreachable(server.instance, nowMs);
    }
    const {result} = attempt;
    if (result.kind === 'refused' && result.reason === 'targetLeaving') {
      board.noteLeaving(server.instance, true);
    }
    return attempt;
  }

  private learnPressure(
    request: callerRequest.CallerRequest,
    load: protocol.ReportedLoad,
    nowMs: number,
  ): void {
    const {downstream, entry} = this.options;
    const {service} = request;
    if (request.nested) downstream.learn(service, load.pressure ?? 0, nowMs);
    else entry.learn(service, load.downstreamPressure ?? 0, nowMs);
  }

  private budget(service: string): fleetLimits.FleetRetryBudget {
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

function outcomeOf(
  request: callerRequest.CallerRequest,
  result: targetCall.TargetAnswer,
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

function reasonOf(result: targetCall.TargetAnswer): string {
  return result.kind === 'answer' ? `status${result.status}` : result.reason;
}
