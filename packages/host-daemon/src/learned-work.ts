import * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import type * as attemptOutcome from './attempt-outcome.js';
import type * as routedRequest from './routed-request.js';

/** An answered attempt, as its sender saw it. */
export interface AnsweredAttempt {
  readonly service: string;
  readonly route: Pick<routing.Route, 'name'>;
  readonly instance: string;
  /** Time from sending the attempt to its response. */
  readonly elapsedMs: number;
  /** The load that came with the response. */
  readonly load: Pick<protocol.ReportedLoad, 'runMs'>;
}

type AttemptedRequest = Pick<
  routedRequest.RoutedRequest,
  'body' | 'route' | 'service'
>;

/**
 * What a sender has learned from responses about the work of requests, by
 * service and route, and about the speed of targets. Tests of the selection in
 * virtual time use it as well.
 */
export class LearnedWork {
  private readonly services = new Map<string, admission.RouteWork>();

  constructor(
    private readonly loadBalancer: Pick<
      routing.TargetBalancer,
      'noteRun' | 'speed'
    >,
  ) {}

  /**
   * The work of a request. A route without requests is assumed to take as long
   * as it should at most.
   */
  expected(
    service: string,
    route: Pick<routing.Route, 'name' | 'objectiveMs'>,
  ): routing.RequestWork {
    const work = this.services.get(service);
    const workMs = work?.expectedMs(route.name) ?? route.objectiveMs;
    return {workMs, averageMs: Math.max(1, work?.averageMs ?? workMs)};
  }

  /**
   * Learns from an attempt if it was answered without a failure. With a body
   * that is streamed, the time depends on the client.
   */
  noteAttempt(
    {body, route, service}: AttemptedRequest,
    {instance}: Pick<routing.BackendServer, 'instance'>,
    {load, result}: Pick<attemptOutcome.AttemptOutcome, 'load' | 'result'>,
    sentMs: number,
    nowMs: number,
  ): void {
    if (!load || result.kind !== 'answer' || result.status >= 500) return;
    if (body !== null && !(body instanceof Uint8Array)) return;
    const elapsedMs = nowMs - sentMs;
    this.note({service, route, instance, elapsedMs, load}, nowMs);
  }

  /**
   * Learns from an answered attempt. If it has waited at the target, the target
   * states its run time; otherwise it has run for most of the elapsed time.
   */
  note(attempt: AnsweredAttempt, nowMs: number): void {
    const {elapsedMs, instance, load, route, service} = attempt;
    const runMs = load.runMs ?? elapsedMs;
    let work = this.services.get(service);
    if (!work) {
      work = new admission.RouteWork();
      this.services.set(service, work);
    }
    const expectedMs = work.expectedMs(route.name);
    work.note(
      route.name,
      runMs,
      this.loadBalancer.speed(instance, nowMs),
      nowMs,
    );
    if (expectedMs === null) return;
    this.loadBalancer.noteRun(instance, expectedMs, runMs, nowMs);
  }
}
