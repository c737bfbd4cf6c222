import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import * as answerVerdict from './answer-verdict.js';
import type * as callDialect from './call-dialect.js';
import type * as decisionLog from './decision-log.js';
import type * as localTargetState from './local-target-state.js';
import * as targetCall from './target-call.js';
import * as timerSteps from './timer-steps.js';

/** A connection that was idle for longer may have been closed unseen. */
const IDLE_LIMIT_MS = 4_000;

/** The same for requests that cannot be sent again. */
const UNSAFE_IDLE_LIMIT_MS = 1_000;

/**
 * The backend server answers at its deadline itself; its answer needs this
 * long to arrive.
 */
const ANSWER_MARGIN_MS = 60;

export interface LocalExchangeOptions {
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
  readonly decisions: Pick<decisionLog.DecisionLog, 'note'>;
  readonly dialect: callDialect.CallDialect;
  readonly client: transport.WholeExchangeClient;
  readonly state: localTargetState.LocalTargetState;
  /** When to come back after a refusal of the backend server. */
  readonly retryAfterMs: () => number;
}

/** Carries out one call at the local backend server and judges its answer. */
export class LocalExchange {
  private readonly answers: answerVerdict.AnswerJudge;
  /** In lower case. */
  private readonly loadName: string;

  constructor(private readonly options: LocalExchangeOptions) {
    const {dialect} = options;
    this.answers = new answerVerdict.AnswerJudge(dialect);
    this.loadName = dialect.loadHeader.toLowerCase();
  }

  async run(
    call: targetCall.TargetCall,
    deadlineMs: number,
    signal: runtime.CancelSignal,
  ): Promise<targetCall.TargetAnswer> {
    if (signal.aborted) return targetCall.refusedCall('cancelled', 0);
    const remainingMs = deadlineMs - this.options.clock.monotonicMs();
    if (remainingMs <= 1) return targetCall.refusedCall('deadlineExpired', 0);
    const running = this.options.client.send({
      method: call.method,
      path: call.path,
      headers: this.backendHeaders(call, remainingMs),
      body: call.body,
      contentLength: call.contentLength,
      maximumIdleMs: call.idempotent ? IDLE_LIMIT_MS : UNSAFE_IDLE_LIMIT_MS,
    });
    const cancel = () => running.cancel();
    const timer = setTimeout(
      cancel,
      timerSteps.inSteps(remainingMs + ANSWER_MARGIN_MS),
    );
    signal.addEventListener('abort', cancel);
    const result = await running.result;
    clearTimeout(timer);
    signal.removeEventListener('abort', cancel);
    return this.judge(call, result);
  }

  private backendHeaders(
    call: targetCall.TargetCall,
    remainingMs: number,
  ): protocol.HeaderList {
    const {dialect} = this.options;
    const headers = [
      ...call.headers,
      [dialect.deadlineHeader, String(Math.max(1, Math.floor(remainingMs)))],
      [dialect.instanceHeader, call.instance],
      [dialect.callerServiceHeader, call.callerService],
    ] as Array<readonly [string, string]>;
    if (call.organisation !== null) {
      headers.push([dialect.organisationHeader, call.organisation]);
    }
    return headers;
  }

  /** Decides what an exchange proves. */
  private judge(
    call: targetCall.TargetCall,
    result: transport.WholeResult,
  ): targetCall.TargetAnswer {
    switch (result.kind) {
      case 'notSent':
        return targetCall.refusedCall('targetUnavailable', 0);
      case 'lost':
        return {kind: 'unknown', reason: 'answerLost'};
      case 'answer':
        return this.judgeAnswer(call, result);
    }
  }

  private judgeAnswer(
    call: targetCall.TargetCall,
    answer: transport.WholeResult & {kind: 'answer'},
  ): targetCall.TargetAnswer {
    const {dialect, state} = this.options;
    const verdict = this.answers.judge(call.requestId, answer);
    if (verdict.kind === 'rejected') {
      this.noteRejected(call, answer.status, verdict.cause);
      const reason =
        verdict.cause === 'unproven' ? 'answerTruncated' : 'answerLost';
      return {kind: 'unknown', reason};
    }
    const load = transport.headerValue(answer.headers, this.loadName);
    if (load !== null) state.noteLoad(dialect.parseLoad(load));
    switch (verdict.kind) {
      case 'misdirected':
        state.noteMisdirected(call.instance);
        return targetCall.refusedCall('targetUnavailable', 0, true);
      case 'refused':
        return targetCall.refusedCall(
          'overloaded',
          this.options.retryAfterMs(),
          true,
        );
      case 'complete': {
        const {status, headers, body} = answer;
        return {kind: 'answer', status, headers, body};
      }
    }
  }

  private noteRejected(
    call: targetCall.TargetCall,
    status: number,
    cause: answerVerdict.RejectionCause,
  ): void {
    this.options.metrics.count(
      'backend_answers_rejected_total',
      'Answers of the backend server that were not passed on, by cause.',
      {cause},
    );
    this.options.decisions.note('backend-answer-rejected', {
      requestId: call.requestId,
      instance: call.instance,
      status,
      cause,
    });
  }
}
