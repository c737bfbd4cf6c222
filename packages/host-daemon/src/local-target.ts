import * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as coldStartMonitor from './cold-start-monitor.js';
import type * as httpBinding from './http-binding.js';
import type * as requestLogger from './request-logger.js';
import * as loadMonitor from './load-monitor.js';
import * as localBackendClient from './local-backend-client.js';
import type * as localTargetState from './local-target-state.js';
import * as localWork from './local-work.js';
import * as reportedLoad from './reported-load.js';
import type * as requestCosts from './request-costs.js';
import * as workScheduler from './work-scheduler.js';
import * as targetCall from './target-call.js';

/** Interval at which queued calls that waited too long are refused. */
const QUEUE_CHECK_INTERVAL_MS = 20;

/**
 * The run time of a call that waited for longer is sent to its sender, which
 * takes the whole time for the run time otherwise.
 */
const REPORTED_WAIT_MS = 2;

export interface LocalTargetOptions extends localWork.LocalWorkOptions {
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
  readonly meter: Pick<runtime.EventLoopMeter, 'busyShare'>;
  readonly requestLog: Pick<requestLogger.RequestLogger, 'log'>;
  readonly binding: httpBinding.HttpBinding;
  readonly client: transport.BufferedExchangeClient;
  readonly state: localTargetState.LocalTargetState;
  /** Pressure of the services that the backend server calls. */
  readonly downstream: admission.DownstreamPressure;
  /** Null if cold starts are not considered. */
  readonly coldStart: Pick<
    coldStartMonitor.ColdStartMonitor,
    'limit' | 'noteCall' | 'report' | 'treatAsCold'
  > | null;
  /** Absent unless requests are admitted by their costs. */
  readonly costs?: Pick<requestCosts.RequestCosts, 'noteRun' | 'noteStart'>;
  readonly success?: localBackendClient.RunObserver;
}

/** Why a call ends its wait without an event of the slots. */
type WaitEnd = 'cancelled' | 'targetLeaving';

interface QueuedCall {
  resolve(event: admission.SlotEvent<QueuedCall> | WaitEnd): void;
}

/** Admits calls to the local backend server and runs them. */
export class LocalTarget {
  private readonly slots: admission.SlotAdmission<QueuedCall>;
  readonly monitor: loadMonitor.LoadMonitor;
  /** Schedules all work that starts in this process. */
  readonly scheduler: workScheduler.WorkScheduler;
  private readonly queuedCalls = new Set<QueuedCall>();
  private readonly work: localWork.LocalWork;
  private queueTimer: NodeJS.Timeout | null = null;
  private readonly backendClient: localBackendClient.LocalBackendClient;

  constructor(private readonly options: LocalTargetOptions) {
    this.work = new localWork.LocalWork(options);
    this.slots = new admission.SlotAdmission(
      options.state.slots,
      options.coldStart?.limit,
      () => this.work.meanRemainingMs(),
    );
    const {slots} = this;
    this.scheduler = new workScheduler.WorkScheduler({
      ...options,
      isLagging: () => this.monitor.isLagging,
    });
    this.monitor = new loadMonitor.LoadMonitor({
      ...options,
      slots,
      scheduler: this.scheduler,
    });
    this.backendClient = new localBackendClient.LocalBackendClient({
      ...options,
      retryAfterMs: () => slots.retryAfterMs(),
      onConnectionLost: nowMs =>
        options.coldStart?.treatAsCold('connectionLost', nowMs),
    });
  }

  get load(): protocol.ReportedLoad {
    const nowMs = this.options.clock.monotonicMs();
    return reportedLoad.reportedLoad(
      this.slots,
      this.monitor,
      this.options.downstream,
      this.options.state.speed(nowMs),
      nowMs,
      this.options.coldStart?.report(nowMs),
      this.work.poorShare(nowMs),
    );
  }

  /** Runs one call. `signal` aborts when its sender has given up. */
  async run(
    call: targetCall.TargetCall,
    signal: runtime.CancelSignal,
  ): Promise<targetCall.CallResult> {
    const {clock, state} = this.options;
    const arrivedMs = clock.monotonicMs();
    if (!state.acceptsWork(arrivedMs)) {
      return targetCall.refusedResult('targetLeaving', 0);
    }
    if (!state.mayServe(call.instance, arrivedMs)) {
      return targetCall.refusedResult('targetUnavailable', 0);
    }
    const deadlineMs = arrivedMs + call.remainingMs;
    const scheduling = await this.scheduler.schedule(
      'target',
      signal,
      deadlineMs,
    );
    if (scheduling !== 'start') return targetCall.refusedResult(scheduling, 0);
    if (!state.acceptsWork(clock.monotonicMs())) {
      return targetCall.refusedResult('targetLeaving', 0);
    }
    this.options.coldStart?.noteCall(call.instance, clock.monotonicMs());
    this.slots.setSlots(state.slots);
    this.monitor.recordArrival();
    const route = this.work.routeName(call);
    const refusal = await this.admit(call, route, deadlineMs, signal);
    if (refusal) {
      this.monitor.recordRefusal(call.nested);
      return refusal;
    }
    const startedMs = clock.monotonicMs();
    this.options.downstream.noteRun(startedMs);
    const running = this.work.start(call, route, startedMs);
    this.options.costs?.noteStart(call, deadlineMs);
    const run = {call, arrivedMs, startedMs, deadlineMs, signal};
    let result: targetCall.CallResult | null = null;
    try {
      result = await this.backendClient.run(call, deadlineMs, signal);
      if (result.kind !== 'answer') return result;
      const runMs = clock.monotonicMs() - startedMs;
      if (startedMs - arrivedMs < REPORTED_WAIT_MS) return result;
      return {...result, runMs: Math.round(runMs)};
    } finally {
      const nowMs = clock.monotonicMs();
      const completed = result?.kind === 'answer';
      this.work.end(running, run, result, nowMs);
      this.options.costs?.noteRun(call, startedMs, nowMs, completed);
      this.resolveCalls(this.slots.finish(nowMs - startedMs, completed, nowMs));
    }
  }

  /** Resolves with null when the call may start, or else with its refusal. */
  private async admit(
    call: targetCall.TargetCall,
    route: string,
    deadlineMs: number,
    signal: runtime.CancelSignal,
  ): Promise<targetCall.CallResult | null> {
    const nowMs = this.options.clock.monotonicMs();
    const queuedCall: QueuedCall = {resolve: () => undefined};
    const verdict = this.slots.offer(
      queuedCall,
      {
        nested: call.nested,
        priority: call.priority,
        deadlineMs,
        objectiveMs: call.objectiveMs,
        expectedRunMs: this.work.expectedRunMs(route, nowMs),
      },
      nowMs,
    );
    switch (verdict.kind) {
      case 'start':
        return null;
      case 'refuse':
        return this.refuseOverloaded(verdict.reason, verdict.retryAfterMs);
      case 'wait': {
        if (verdict.cause === 'coldLimit') this.countCold('delayed');
        const event = await this.waitForSlot(queuedCall, signal);
        if (typeof event === 'string') {
          return targetCall.refusedResult(event, 0);
        }
        if (event.kind === 'refuse') {
          return this.refuseOverloaded(event.reason, event.retryAfterMs);
        }
        return this.claimSlot(call, route, deadlineMs, signal);
      }
    }
  }

  /**
   * Resolves with null if a call that has got a slot may start. Otherwise, when
   * the call was cancelled or has expired, or when the backend server no longer
   * accepts work, releases the slot and resolves with a refusal. A call is
   * queued again if the server has become cold in the meantime.
   */
  private async claimSlot(
    call: targetCall.TargetCall,
    route: string,
    deadlineMs: number,
    signal: runtime.CancelSignal,
  ): Promise<targetCall.CallResult | null> {
    const {clock, coldStart, state} = this.options;
    const grantedMs = clock.monotonicMs();
    const scheduling = await this.scheduler.schedule(
      'slot',
      signal,
      deadlineMs,
    );
    const nowMs = clock.monotonicMs();
    const acceptsWork = state.acceptsWork(nowMs);
    const isCold = coldStart?.limit.hasBegunSince(grantedMs, nowMs) ?? false;
    if (scheduling === 'start' && acceptsWork && !isCold) return null;
    this.resolveCalls(this.slots.finish(0, false, nowMs));
    if (scheduling === 'start' && acceptsWork) {
      return this.admit(call, route, deadlineMs, signal);
    }
    return targetCall.refusedResult(
      scheduling === 'start' ? 'targetLeaving' : scheduling,
      0,
    );
  }

  private waitForSlot(
    queuedCall: QueuedCall,
    signal: runtime.CancelSignal,
  ): Promise<admission.SlotEvent<QueuedCall> | WaitEnd> {
    this.startQueueTimer();
    this.queuedCalls.add(queuedCall);
    return new Promise(resolve => {
      const onAbort = () => {
        if (this.slots.abandon(queuedCall)) queuedCall.resolve('cancelled');
      };
      queuedCall.resolve = event => {
        this.queuedCalls.delete(queuedCall);
        signal.removeEventListener('abort', onAbort);
        resolve(event);
      };
      if (signal.aborted) onAbort();
      else signal.addEventListener('abort', onAbort);
    });
  }

  private startQueueTimer(): void {
    this.queueTimer ??= setInterval(() => {
      const nowMs = this.options.clock.monotonicMs();
      this.resolveCalls(this.slots.advance(nowMs));
      if (!this.options.state.acceptsWork(nowMs)) this.refuseQueuedCalls();
      if (this.slots.queueLength === 0 && this.queueTimer) {
        clearInterval(this.queueTimer);
        this.queueTimer = null;
      }
    }, QUEUE_CHECK_INTERVAL_MS);
  }

  /** Refuses all waiting calls, so that their senders try other targets. */
  private refuseQueuedCalls(): void {
    for (const queuedCall of this.queuedCalls) {
      if (this.slots.abandon(queuedCall)) queuedCall.resolve('targetLeaving');
    }
  }

  private resolveCalls(
    events: ReadonlyArray<admission.SlotEvent<QueuedCall>>,
  ): void {
    for (const event of events) event.ticket.resolve(event);
  }

  private countCold(outcome: 'delayed' | 'refused'): void {
    this.options.metrics.count(
      'cold_limited_calls_total',
      'Calls that the cold start limit delayed or refused.',
      {outcome},
    );
  }

  private refuseOverloaded(
    cause: admission.SlotRefusal,
    retryAfterMs: number,
  ): targetCall.CallResult {
    if (cause === 'coldLimit') this.countCold('refused');
    this.options.metrics.count(
      'admission_refusals_total',
      'Calls that the daemon of the target refused, by cause.',
      {cause},
    );
    return targetCall.refusedResult(
      cause === 'deadlineExpired' ? 'deadlineExpired' : 'overloaded',
      retryAfterMs,
    );
  }
}
