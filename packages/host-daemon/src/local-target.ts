import * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as callDialect from './call-dialect.js';
import type * as decisionLog from './decision-log.js';
import * as loadObserver from './load-observer.js';
import * as localExchange from './local-exchange.js';
import type * as localTargetState from './local-target-state.js';
import * as reportedLoad from './reported-load.js';
import * as startGate from './start-gate.js';
import * as targetCall from './target-call.js';

/** Waiting calls are checked for their limits at this interval. */
const ADVANCE_INTERVAL_MS = 20;

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
  private readonly exchange: localExchange.LocalExchange;

  constructor(private readonly options: LocalTargetOptions) {
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
    this.exchange = new localExchange.LocalExchange({
      ...options,
      retryAfterMs: () => slots.retryAfterMs(),
    });
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
      const answer = await this.exchange.run(call, deadlineMs, signal);
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

  /**
   * Gives a slot back that came to a call for which nobody waits any more, or
   * after the backend server has begun to leave.
   */
  private async claimSlot(
    deadlineMs: number,
    signal: runtime.CancelSignal,
  ): Promise<targetCall.TargetAnswer | null> {
    const {clock, state} = this.options;
    const start = await this.gate.pass('slot', signal, deadlineMs);
    const nowMs = clock.monotonicMs();
    const isStaying = state.acceptsWork(nowMs);
    if (start === 'start' && isStaying) return null;
    this.settle(this.slots.finish(0, false, nowMs));
    return targetCall.refusedCall(
      start === 'start' ? 'targetLeaving' : start,
      0,
    );
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
}
