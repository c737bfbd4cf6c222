import * as admission from '@camphorwharf/admission';
import type * as routing from '@camphorwharf/routing';
import type * as runtime from '@camphorwharf/runtime';
import type * as localTargetState from './local-target-state.js';
import * as slotTime from './slot-time.js';
import * as targetCall from './target-call.js';

/** Calls whose route is not known share an estimate of their work. */
const UNKNOWN_ROUTE = '';

/**
 * A response this long before the deadline may be one to its expiry: the server
 * has the remaining time in whole milliseconds, and timers are not exact.
 */
const DEADLINE_TOLERANCE_MS = 5;

const GATEWAY_TIMEOUT = 504;

/** A call that the local backend server runs. */
export interface RunningWork {
  readonly call: admission.RunningCall;
  /** Null if the outcomes of the backend server are not reported. */
  readonly observed: admission.ObservedCall | null;
  /** Usual run time; absent if it is not known. */
  readonly usualMs: number | undefined;
  /** With a streamed body, the time depends on the client. */
  readonly isStreamed: boolean;
}

export interface LocalWorkOptions {
  readonly clock: runtime.Clock;
  readonly metrics: Pick<runtime.Metrics, 'countFrom'>;
  readonly state: Pick<
    localTargetState.LocalTargetState,
    'reportsSpeed' | 'service' | 'speed' | 'starts' | 'usualSpeed'
  >;
  /** Routes known to this host; without them, calls share one estimate. */
  readonly index?: () => routing.ConfigurationIndex | null;
}

/**
 * Learns the work of the calls that the local backend server runs, by route,
 * and estimates the run times of further calls and of the running ones.
 */
export class LocalWork {
  private readonly work = new admission.RouteWork();
  private readonly outstanding = new admission.OutstandingWork(this.work);

  private readonly outcomes = new admission.PoorOutcomes();
  /** The start of the backend server to which the outcomes belong. */
  private observedStart: number;
  private readonly slotTime: slotTime.SlotTime;

  constructor(private readonly options: LocalWorkOptions) {
    const {metrics, state} = options;
    this.observedStart = state.starts;
    this.slotTime = new slotTime.SlotTime(metrics, state.service);
  }

  /**
   * Share of the recent calls that ended poorly. 0 for a backend server that
   * does not state its speed: a usual run time says little about it.
   */
  poorShare(nowMs: number): number {
    this.resetAfterStart();
    return this.outcomes.current(nowMs);
  }

  /**
   * Name of the route of a call. The configuration of the sender may have
   * another version.
   */
  routeName(call: targetCall.TargetCall): string {
    const index = this.options.index?.() ?? null;
    return targetCall.routeName(index, call) ?? UNKNOWN_ROUTE;
  }

  start(
    {body}: Pick<targetCall.TargetCall, 'body'>,
    route: string,
    nowMs: number,
  ): RunningWork {
    this.resetAfterStart();
    const isStreamed = body !== null && !(body instanceof Uint8Array);
    const workMs = this.work.expectedMs(route);
    const usualMs =
      workMs === null || isStreamed
        ? undefined
        : workMs / this.options.state.usualSpeed(nowMs);
    return {
      call: this.outstanding.start(route, nowMs),
      observed: this.options.state.reportsSpeed
        ? this.outcomes.start(usualMs, nowMs)
        : null,
      usualMs,
      isStreamed,
    };
  }

  /** Learns from the end of a call; `result` is null if there is none. */
  end(
    running: RunningWork,
    run: slotTime.SlotRun,
    result: targetCall.CallResult | null,
    nowMs: number,
  ): void {
    this.slotTime.note(run, result, nowMs);
    // A call whose sender has given up says nothing about the server.
    const known = run.signal.aborted ? null : result;
    this.learn(running, known, run.deadlineMs - nowMs, nowMs);
  }

  /** An earlier instance says nothing about the present one. */
  private resetAfterStart(): void {
    const {starts} = this.options.state;
    if (starts === this.observedStart) return;
    this.observedStart = starts;
    this.outcomes.reset();
  }

  private learn(
    running: RunningWork,
    result: targetCall.CallResult | null,
    remainingMs: number,
    nowMs: number,
  ): void {
    const {call, isStreamed, observed} = running;
    const {route, startedMs} = call;
    this.outstanding.end(call);
    const runMs = nowMs - startedMs;
    const quality = hasExpired(result, remainingMs)
      ? qualityOfExpired(running, runMs)
      : qualityOf(result);
    if (observed) this.outcomes.end(observed, quality, nowMs);
    if (result?.kind !== 'answer' || result.status >= 500) return;
    if (isStreamed) return;
    this.work.note(route, runMs, this.options.state.speed(nowMs), nowMs);
  }

  /** In milliseconds at the present speed of the backend server. */
  meanRemainingMs(): number | null {
    const nowMs = this.options.clock.monotonicMs();
    const speed = this.options.state.speed(nowMs);
    const workMs = this.outstanding.meanRemainingMs(speed, nowMs);
    return workMs === null ? null : workMs / speed;
  }

  /** Absent if nothing is known about the work of the route. */
  expectedRunMs(route: string, nowMs: number): number | undefined {
    const workMs = this.work.expectedMs(route);
    return workMs === null
      ? undefined
      : workMs / this.options.state.speed(nowMs);
  }
}

function qualityOf(
  result: targetCall.CallResult | null,
): admission.CallQuality {
  switch (result?.kind) {
    case undefined:
      return 'unknown';
    case 'answer':
      return result.status >= 500 ? 'poor' : 'good';
    case 'refused':
      // A misdirected call says nothing about the instance that refused it.
      if (result.byServer) {
        return result.reason === 'overloaded' ? 'poor' : 'unknown';
      }
      return result.reason === 'targetUnavailable' ? 'poor' : 'unknown';
    case 'unknown':
      return result.hasBodyFailed ? 'unknown' : 'poor';
  }
}

/** Whether a call ended because its time was over. */
function hasExpired(
  result: targetCall.CallResult | null,
  remainingMs: number,
): boolean {
  const isByServer =
    result?.kind === 'answer'
      ? result.status === GATEWAY_TIMEOUT
      : result?.kind === 'refused' && result.byServer;
  if (isByServer) return remainingMs <= DEADLINE_TOLERANCE_MS;
  return result?.kind !== 'answer' && remainingMs <= 0;
}

/**
 * A call that got less time than it usually needs says nothing, nor does one
 * whose usual time is not known.
 */
function qualityOfExpired(
  {usualMs = Infinity}: RunningWork,
  runMs: number,
): admission.CallQuality {
  return runMs + DEADLINE_TOLERANCE_MS >= usualMs ? 'poor' : 'unknown';
}
