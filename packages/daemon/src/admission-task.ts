import type * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';

/** Interval at which deadlines and sojourn times of waiting calls are checked. */
const TICK_INTERVAL_MS = 50;

export type AdmissionOutcome =
  | {readonly kind: 'admitted'; readonly ticket: admission.AdmissionTicket}
  | {readonly kind: 'refused'; readonly reason: protocol.RefusalReasonName};

export interface AdmissionTaskOptions {
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
  readonly controller: admission.AdmissionController;
}

/** Lets calls wait for the verdict of the admission controller. */
export class AdmissionTask {
  private readonly waiting = new Map<
    admission.AdmissionTicket,
    (outcome: AdmissionOutcome) => void
  >();

  constructor(private readonly options: AdmissionTaskOptions) {}

  /** Resolves when the call may start or is refused. */
  async admit(
    call: admission.AdmissionCall,
    signal: AbortSignal,
  ): Promise<AdmissionOutcome> {
    const {clock, controller} = this.options;
    const {verdict, events} = controller.offer(call, clock.monotonicMs());
    // Registered before the events are handled, since they may name this call.
    const outcome = this.awaitVerdict(verdict, signal);
    this.settle(events);
    return outcome;
  }

  finish(
    ticket: admission.AdmissionTicket,
    result: admission.AdmissionResult,
    serviceTimeMs: number,
  ): void {
    const {clock, controller} = this.options;
    this.settle(
      controller.finish(ticket, result, serviceTimeMs, clock.monotonicMs()),
    );
  }

  threshold(): protocol.SheddingThreshold | null {
    return this.options.controller.threshold(this.options.clock.monotonicMs());
  }

  /** Checks waiting calls until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, controller, metrics} = this.options;
    while (!signal.aborted) {
      await clock.delay(TICK_INTERVAL_MS, signal);
      this.settle(controller.tick(clock.monotonicMs()));
      metrics.gauge(
        'concurrency_limit',
        'Learned concurrency limit of the local backend server, in calls.',
        controller.concurrencyLimit,
      );
      metrics.gauge(
        'calls_in_flight',
        'Calls running at the local backend server.',
        controller.inFlight,
      );
      metrics.gauge(
        'calls_waiting',
        'Calls waiting for admission.',
        controller.waiting,
      );
    }
  }

  private awaitVerdict(
    verdict: admission.AdmissionVerdict,
    signal: AbortSignal,
  ): Promise<AdmissionOutcome> {
    switch (verdict.kind) {
      case 'start':
        return Promise.resolve({kind: 'admitted', ticket: verdict.ticket});
      case 'refuse':
        return Promise.resolve({kind: 'refused', reason: verdict.reason});
      case 'wait':
        return this.awaitTicket(verdict.ticket, signal);
    }
  }

  private awaitTicket(
    ticket: admission.AdmissionTicket,
    signal: AbortSignal,
  ): Promise<AdmissionOutcome> {
    return new Promise(resolve => {
      const leave = () => {
        if (!this.waiting.delete(ticket)) return;
        const {clock, controller} = this.options;
        controller.abandon(ticket, clock.monotonicMs());
        resolve({kind: 'refused', reason: 'cancelled'});
      };
      this.waiting.set(ticket, outcome => {
        signal.removeEventListener('abort', leave);
        resolve(outcome);
      });
      if (signal.aborted) leave();
      else signal.addEventListener('abort', leave, {once: true});
    });
  }

  private settle(events: readonly admission.AdmissionEvent[]): void {
    for (const event of events) {
      const resolve = this.waiting.get(event.ticket);
      if (!resolve) continue;
      this.waiting.delete(event.ticket);
      switch (event.kind) {
        case 'start':
          resolve({kind: 'admitted', ticket: event.ticket});
          break;
        case 'refuse':
          resolve({kind: 'refused', reason: event.reason});
          break;
      }
    }
  }
}
