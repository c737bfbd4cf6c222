import * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import * as answerVerdict from './answer-verdict.js';
import type * as callDialect from './call-dialect.js';
import type * as decisionLog from './decision-log.js';
import * as loadObserver from './load-observer.js';
import type * as localTargetState from './local-target-state.js';
import * as reportedLoad from './reported-load.js';
import * as startGate from './start-gate.js';
import * as targetCall from './target-call.js';
import * as timerSteps from './timer-steps.js';

/** Waiting calls are checked for their limits at this interval. */
const ADVANCE_INTERVAL_MS = 20;

/** A connection that was idle for longer may have been closed unseen. */
const IDLE_LIMIT_MS = 4_000;

/** The same for requests that cannot be sent again. */
const UNSAFE_IDLE_LIMIT_MS = 1_000;

/**
 * The backend server answers at its deadline itself; its answer needs this
 * long to arrive.
 */
const ANSWER_MARGIN_MS = 60;

export interface LocalTargetOptions {
  readonly clock: runtime.Clock;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  readonly meter: Pick<runtime.EventLoopMeter, 'busyShare'>;
  readonly decisions: Pick<decisionLog.DecisionLog, 'note'>;
  readonly dialect: callDialect.CallDialect;
  readonly client: transport.WholeExchangeClient;
  readonly state: localTargetState.LocalTargetState;
  /** Pressure of the services that the backend server calls. */
  readonly downstream: admission.DownstreamPressure;
}

interface Waiter {
  resolve(event: admission.SlotEvent<Waiter>): void;
}

/** Admits calls to the local backend server and carries them out. */
export class LocalTarget {
  private readonly slots: admission.SlotAdmission<Waiter>;
  readonly observer: loadObserver.LoadObserver;
  /** Passed by all work that begins in this process. */
  readonly gate: startGate.StartGate;
  private timer: NodeJS.Timeout | null = null;
  private readonly answers: answerVerdict.AnswerJudge;
  /** In lower case. */
  private readonly loadName: string;

  constructor(private readonly options: LocalTargetOptions) {
    const {dialect} = options;
    this.slots = new admission.SlotAdmission(options.state.slots);
    const {slots} = this;
    this.gate = new startGate.StartGate({
      ...options,
      isLate: () => this.observer.isLate,
    });
    this.observer = new loadObserver.LoadObserver({
      ...options,
      slots,
      gate: this.gate,
    });
    this.answers = new answerVerdict.AnswerJudge(dialect);
    this.loadName = dialect.loadHeader.toLowerCase();
  }

  get load(): protocol.ReportedLoad {
    return reportedLoad.reportedLoad(
      this.slots,
      this.observer,
      this.options.downstream,
      this.options.clock.monotonicMs(),
    );
  }

  /** Runs one call. `signal` aborts when its sender has given up. */
  async run(
    call: targetCall.TargetCall,
    signal: runtime.CancelSignal,
  ): Promise<targetCall.TargetAnswer> {
    const {clock, state} = this.options;
    const arrivedMs = clock.monotonicMs();
    if (!state.acceptsWork(arrivedMs)) {
      return targetCall.refusedCall('targetLeaving', 0);
    }
    if (!state.mayRun(call.instance)) {
      return targetCall.refusedCall('targetUnavailable', 0);
    }
    const deadlineMs = arrivedMs + call.remainingMs;
    const start = await this.gate.pass('target', signal, deadlineMs);
    if (start !== 'start') return targetCall.refusedCall(start, 0);
    this.slots.setSlots(state.slots);
    this.observer.noteArrival();
    const verdict = await this.admit(call, deadlineMs, signal);
    if (verdict) {
      this.observer.noteRefusal(call.nested);
      return verdict;
    }
    const startedMs = clock.monotonicMs();
    this.options.downstream.noteRun(startedMs);
    let completed = false;
    try {
      const answer = await this.exchange(call, deadlineMs, signal);
      completed = answer.kind === 'answer';
      return answer;
    } finally {
      const nowMs = clock.monotonicMs();
      this.settle(this.slots.finish(nowMs - startedMs, completed, nowMs));
    }
  }

  /** Resolves with null when the call may start. */
  private async admit(
    call: targetCall.TargetCall,
    deadlineMs: number,
    signal: runtime.CancelSignal,
  ): Promise<targetCall.TargetAnswer | null> {
    const nowMs = this.options.clock.monotonicMs();
    const waiter: Waiter = {resolve: () => undefined};
    const verdict = this.slots.offer(
      waiter,
      {
        nested: call.nested,
        priority: call.priority,
        deadlineMs,
        objectiveMs: call.objectiveMs,
      },
      nowMs,
    );
    switch (verdict.kind) {
      case 'start':
        return null;
      case 'refuse':
        return this.overloaded(verdict.reason, verdict.retryAfterMs);
      case 'wait': {
        const event = await this.wait(waiter, signal);
        if (event === 'cancelled') {
          return targetCall.refusedCall('cancelled', 0);
        }
        if (event.kind === 'refuse') {
          return this.overloaded(event.reason, event.retryAfterMs);
        }
        return this.claimSlot(deadlineMs, signal);
      }
    }
  }

  /** Gives a slot back that came to a call for which nobody waits any more. */
  private async claimSlot(
    deadlineMs: number,
    signal: runtime.CancelSignal,
  ): Promise<targetCall.TargetAnswer | null> {
    const start = await this.gate.pass('slot', signal, deadlineMs);
    if (start === 'start') return null;
    this.settle(this.slots.finish(0, false, this.options.clock.monotonicMs()));
    return targetCall.refusedCall(start, 0);
  }

  private wait(
    waiter: Waiter,
    signal: runtime.CancelSignal,
  ): Promise<admission.SlotEvent<Waiter> | 'cancelled'> {
    this.startTimer();
    return new Promise(resolve => {
      const onAbort = () => {
        if (this.slots.abandon(waiter)) resolve('cancelled');
      };
      waiter.resolve = event => {
        signal.removeEventListener('abort', onAbort);
        resolve(event);
      };
      if (signal.aborted) onAbort();
      else signal.addEventListener('abort', onAbort);
    });
  }

  private startTimer(): void {
    this.timer ??= setInterval(() => {
      this.settle(this.slots.advance(this.options.clock.monotonicMs()));
      if (this.slots.queueLength === 0 && this.timer) {
        clearInterval(this.timer);
        this.timer = null;
      }
    }, ADVANCE_INTERVAL_MS);
  }

  private settle(events: ReadonlyArray<admission.SlotEvent<Waiter>>): void {
    for (const event of events) event.ticket.resolve(event);
  }

  private async exchange(
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
          this.slots.retryAfterMs(),
          true,
        );
      case 'complete': {
        const {status, headers, body} = answer;
        return {kind: 'answer', status, headers, body};
      }
    }
  }

  private overloaded(
    cause: admission.SlotRefusal,
    retryAfterMs: number,
  ): targetCall.TargetAnswer {
    this.options.metrics.count(
      'admission_refusals_total',
      'Calls that the daemon of the target refused, by cause.',
      {cause},
    );
    return targetCall.refusedCall(
      cause === 'deadlineExpired' ? 'deadlineExpired' : 'overloaded',
      retryAfterMs,
    );
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
