import type * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';

/** Interval between checks of deadlines and sojourn times of queued calls. */
const CHECK_INTERVAL_MS = 50;

export type AdmissionOutcome =
  | {readonly kind: 'admitted'; readonly ticket: admission.AdmissionTicket}
  | {readonly kind: 'refused'; readonly reason: protocol.RefusalReasonName};

export interface AdmissionTaskOptions {
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
  readonly controller: admission.AdmissionController;
}

/** Holds calls until the admission controller admits or refuses them. */
export class AdmissionTask {
  private readonly waiting = new Map<
    admission.AdmissionTicket,
    (outcome: AdmissionOutcome) => void
  >();

  constructor(private readonly options: AdmissionTaskOptions) {}

  /** Resolves when the call is admitted or refused. */
  async admit(
    call: admission.AdmissionCall,
    signal: AbortSignal,
  ): Promise<AdmissionOutcome> {
    const {clock, controller} = this.options;
    const {verdict, events} = controller.offer(call, clock.monotonicMs());
    // Register first, since the events may refer to this call.
    const outcome = this.awaitVerdict(verdict, signal);
    this.applyEvents(events);
    return outcome;
  }

  finish(
    ticket: admission.AdmissionTicket,
    result: admission.AdmissionResult,
    serviceTimeMs: number,
  ): void {
    const {clock, controller} = this.options;
    this.applyEvents(
      controller.finish(ticket, result, serviceTimeMs, clock.monotonicMs()),
    );
  }

  threshold(): protocol.SheddingThreshold | null {
    return this.options.controller.threshold(this.options.clock.monotonicMs());
  }

  /** Checks queued calls and updates metrics until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, controller, metrics} = this.options;
    while (!signal.aborted) {
      await clock.delay(CHECK_INTERVAL_MS, signal);
      this.applyEvents(controller.tick(clock.monotonicMs()));
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
        return this.waitForTicket(verdict.ticket, signal);
    }
  }

  private waitForTicket(
    ticket: admission.AdmissionTicket,
    signal: AbortSignal,
  ): Promise<AdmissionOutcome> {
    return new Promise(resolve => {
      const abandon = () => {
        if (!this.waiting.delete(ticket)) return;
        const {clock, controller} = this.options;
        controller.abandon(ticket, clock.monotonicMs());
        resolve({kind: 'refused', reason: 'cancelled'});
      };
      this.waiting.set(ticket, outcome => {
        signal.removeEventListener('abort', abandon);
        resolve(outcome);
      });
      if (signal.aborted) abandon();
      else signal.addEventListener('abort', abandon, {once: true});
    });
  }

  private applyEvents(events: readonly admission.AdmissionEvent[]): void {
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
