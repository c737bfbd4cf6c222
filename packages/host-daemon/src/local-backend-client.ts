import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import * as responseValidator from './response-validator.js';
import * as attemptLog from './attempt-log.js';
import type * as httpBinding from './http-binding.js';
import * as observedBody from './observed-body.js';
import * as requestLogger from './request-logger.js';
import type * as requestSuccess from './request-success.js';
import type * as localTargetState from './local-target-state.js';
import * as targetCall from './target-call.js';
import * as timerResolution from './timer-resolution.js';

/**
 * A connection that was idle for longer is not reused: the server may have
 * closed it without this process having noticed yet.
 */
const IDLE_LIMIT_MS = 4_000;

/** The same limit for requests that cannot be retried. */
const NON_IDEMPOTENT_IDLE_LIMIT_MS = 1_000;

/**
 * The backend server responds at its deadline itself; its response needs this
 * long to arrive.
 */
const RESPONSE_MARGIN_MS = 60;

/** Characters of a header value that are logged. */
const MAXIMUM_LOGGED_VALUE = 80;

/** Learns why calls to the local backend server fail. */
export type RunObserver = Pick<
  requestSuccess.RequestSuccess,
  'noteStart' | 'withCause'
>;

export interface LocalBackendClientOptions {
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
  readonly requestLog: Pick<requestLogger.RequestLogger, 'log'>;
  readonly binding: httpBinding.HttpBinding;
  readonly client: transport.BufferedExchangeClient;
  readonly state: localTargetState.LocalTargetState;
  /** Retry delay after a refusal by the backend server. */
  readonly retryAfterMs: () => number;
  /** Called when a connection was lost or refused without a reason here. */
  readonly onConnectionLost: (nowMs: number) => void;
  /** Absent unless requests without a chance of success are refused. */
  readonly success?: RunObserver;
}

/** Runs one call at the local backend server and validates its response. */
export class LocalBackendClient {
  private readonly validator: responseValidator.ResponseValidator;
  /** In lower case. */
  private readonly loadHeader: string;
  private readonly attempts: attemptLog.AttemptLog;

  constructor(private readonly options: LocalBackendClientOptions) {
    const {binding} = options;
    this.validator = new responseValidator.ResponseValidator(binding);
    this.loadHeader = binding.loadHeader.toLowerCase();
    this.attempts = new attemptLog.AttemptLog(
      options.requestLog,
      binding.proofHeader.toLowerCase(),
    );
  }

  async run(
    call: targetCall.TargetCall,
    deadlineMs: number,
    signal: runtime.CancelSignal,
  ): Promise<targetCall.CallResult> {
    if (signal.aborted) return targetCall.refusedResult('cancelled', 0);
    const remainingMs = deadlineMs - this.options.clock.monotonicMs();
    if (remainingMs <= 1) return targetCall.refusedResult('deadlineExpired', 0);
    this.attempts.noteStart(call);
    this.options.success?.noteStart(call, deadlineMs);
    const interpreted: {result: targetCall.CallResult | null} = {result: null};
    const observed = new observedBody.ObservedBody(call.body);
    const exchange = this.options.client.send({
      method: call.method,
      path: call.path,
      headers: this.backendHeaders(call, remainingMs),
      body: observed.body,
      contentLength: call.contentLength,
      maximumIdleMs: call.idempotent
        ? IDLE_LIMIT_MS
        : NON_IDEMPOTENT_IDLE_LIMIT_MS,
      isExpected: response => {
        interpreted.result = this.interpretResponse(call, response);
        // The request may be sent to the instance that has replaced the denied
        // one, where a late copy of this denial would be taken for its response.
        return (
          response.status !== responseValidator.MISDIRECTED_REQUEST &&
          interpreted.result.kind !== 'unknown'
        );
      },
    });
    let isCancelled = false;
    const cancel = () => {
      isCancelled = true;
      exchange.cancel();
    };
    const timer = setTimeout(
      cancel,
      timerResolution.roundUpDelay(remainingMs + RESPONSE_MARGIN_MS),
    );
    signal.addEventListener('abort', cancel);
    const exchangeResult = await exchange.result;
    clearTimeout(timer);
    signal.removeEventListener('abort', cancel);
    const {hasFailed} = observed;
    if (!isCancelled && !hasFailed && isConnectionLost(exchangeResult)) {
      this.options.onConnectionLost(this.options.clock.monotonicMs());
    }
    const result =
      interpreted.result ??
      this.interpretResult(call, exchangeResult, hasFailed);
    this.attempts.noteEnd(call, exchangeResult, result);
    return this.options.success?.withCause(call, result) ?? result;
  }

  private backendHeaders(
    call: targetCall.TargetCall,
    remainingMs: number,
  ): protocol.HeaderList {
    const {binding} = this.options;
    const headers = [
      ...call.headers,
      [binding.deadlineHeader, String(Math.max(1, Math.floor(remainingMs)))],
      [binding.instanceHeader, call.instance],
      [binding.callerServiceHeader, call.callerService],
    ] as Array<readonly [string, string]>;
    if (call.organisation !== null) {
      headers.push([binding.organisationHeader, call.organisation]);
    }
    return headers;
  }

  /** Decides what the result of an exchange proves about the call. */
  private interpretResult(
    call: targetCall.TargetCall,
    result: transport.BufferedExchangeResult,
    hasBodyFailed: boolean,
  ): targetCall.CallResult {
    switch (result.kind) {
      case 'notSent':
        return targetCall.refusedResult('targetUnavailable', 0);
      case 'lost':
        return {kind: 'unknown', reason: 'answerLost', hasBodyFailed};
      case 'answer':
        return this.interpretResponse(call, result);
    }
  }

  private interpretResponse(
    call: targetCall.TargetCall,
    response: transport.BufferedResponse,
  ): targetCall.CallResult {
    const {state} = this.options;
    const verdict = this.validator.validate(call, response);
    if (verdict.kind === 'rejected') {
      this.recordRejection(call, response.status, verdict.cause);
      const reason =
        verdict.cause === 'unproven' ? 'answerTruncated' : 'answerLost';
      return {kind: 'unknown', reason};
    }
    const load = transport.headerValue(response.headers, this.loadHeader);
    if (load !== null) this.applyLoad(call, load);
    switch (verdict.kind) {
      case 'misdirected':
        state.recordMisdirected(
          call.instance,
          this.options.clock.monotonicMs(),
        );
        return targetCall.refusedResult('targetUnavailable', 0, true);
      case 'refused':
        return targetCall.refusedResult(
          'overloaded',
          this.options.retryAfterMs(),
          true,
        );
      case 'complete': {
        state.recordAnswered(call.instance);
        const {status, headers, body} = response;
        return {kind: 'answer', status, headers, body};
      }
    }
  }

  private applyLoad(call: targetCall.TargetCall, value: string): void {
    const load = this.options.binding.parseLoad(value);
    if (load) {
      const nowMs = this.options.clock.monotonicMs();
      this.options.state.applyReportedLoad(load, nowMs);
      return;
    }
    this.options.metrics.count(
      'load_headers_rejected_total',
      'Load figures of the backend server that could not be decoded.',
    );
    const {requestId, instance} = call;
    this.options.requestLog.log('load-header-rejected', {
      requestId,
      instance,
      value: value.slice(0, MAXIMUM_LOGGED_VALUE),
    });
  }

  private recordRejection(
    call: targetCall.TargetCall,
    status: number,
    cause: responseValidator.RejectionCause,
  ): void {
    this.options.metrics.count(
      'backend_answers_rejected_total',
      'Answers of the backend server that were not passed on, by cause.',
      {cause},
    );
    const {requestId, attempt, instance} = call;
    this.options.requestLog.log(
      'backend-answer-rejected',
      {requestId, attempt, instance, status, cause},
      requestLogger.attemptBudget(call),
    );
  }
}

/**
 * Whether the server lost or refused the connection, rather than this process
 * rejecting its response or lacking a connection.
 */
function isConnectionLost(result: transport.BufferedExchangeResult): boolean {
  switch (result.kind) {
    case 'answer':
      return false;
    case 'lost':
      return result.error instanceof runtime.ConnectionError;
    case 'notSent':
      return result.error.cause !== undefined;
  }
}
