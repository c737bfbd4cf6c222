import * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as backendServer from './backend-server.js';
import type * as overloadControl from './overload-control.js';
import type * as request from './request.js';
import type * as virtualTime from './virtual-time.js';

/** A call that has arrived at the daemon of a target. */
export interface OfferedCall {
  readonly request: request.Request;
  /** Runs the call; `finish` is called exactly once when it ends. */
  readonly start: (finish: (result: admission.AdmissionResult) => void) => void;
  /** Refuses the call in place of running it. */
  readonly refuse: (reason: protocol.RefusalReasonName) => void;
}

/** A call path under one overload control. */
export interface ControlledPath {
  readonly control: overloadControl.OverloadControl;
  readonly time: virtualTime.VirtualTime;
}

/** Decides when a target starts each call, or refuses it. */
export interface AdmissionPolicy {
  offer(call: OfferedCall): void;
  /** Returns the shedding threshold to report to senders, if there is one. */
  threshold(): admission.ShareThreshold | null;
  beginColdStart(): void;
}

/** Baseline without control: starts every call at once. */
export class UnlimitedAdmission implements AdmissionPolicy {
  offer(call: OfferedCall): void {
    call.start(() => {});
  }

  threshold(): null {
    return null;
  }

  beginColdStart(): void {}
}

/** Per-hop baseline: fixed concurrency and a bounded FIFO queue. */
export class FixedQueueAdmission implements AdmissionPolicy {
  private inFlight = 0;
  private readonly queue: OfferedCall[] = [];

  constructor(private readonly slots: number) {}

  offer(call: OfferedCall): void {
    if (this.queue.length >= 4 * this.slots) {
      call.refuse('queueFull');
      return;
    }
    this.queue.push(call);
    this.startQueued();
  }

  threshold(): null {
    return null;
  }

  beginColdStart(): void {}

  private startQueued(): void {
    while (this.inFlight < this.slots && this.queue.length > 0) {
      this.inFlight++;
      this.queue.shift()!.start(() => {
        this.inFlight--;
        this.startQueued();
      });
    }
  }
}

/** Runs `TargetAdmission`, as packages/daemon does, in virtual time. */
export class ProductAdmission implements AdmissionPolicy {
  readonly controller = new admission.TargetAdmission();
  private readonly waitingCalls = new Map<
    admission.AdmissionTicket,
    OfferedCall
  >();

  constructor(
    private readonly time: virtualTime.VirtualTime,
    server: backendServer.BackendServer,
  ) {
    time.every(50, () => this.applyEvents(this.controller.tick(time.nowMs)));
    time.every(200, () => {
      const {inFlight, slots} = server.reportLoad();
      this.controller.noteReportedLoad(inFlight, slots, time.nowMs);
    });
  }

  offer(call: OfferedCall): void {
    const {verdict, events} = this.controller.offer(
      call.request,
      this.time.nowMs,
    );
    switch (verdict.kind) {
      case 'start':
        this.start(verdict.ticket, call);
        break;
      case 'wait':
        this.waitingCalls.set(verdict.ticket, call);
        break;
      case 'refuse':
        call.refuse(verdict.reason);
        break;
    }
    this.applyEvents(events);
  }

  threshold(): admission.ShareThreshold | null {
    return this.controller.threshold(this.time.nowMs);
  }

  beginColdStart(): void {
    this.controller.beginColdStart(this.time.nowMs);
  }

  private applyEvents(events: readonly admission.AdmissionEvent[]): void {
    for (const event of events) {
      const call = this.waitingCalls.get(event.ticket);
      this.waitingCalls.delete(event.ticket);
      if (!call) throw new Error('event for a call that is not waiting');
      if (event.kind === 'start') this.start(event.ticket, call);
      else call.refuse(event.reason);
    }
  }

  private start(ticket: admission.AdmissionTicket, call: OfferedCall): void {
    const startedMs = this.time.nowMs;
    call.start(result => {
      const elapsedMs = this.time.nowMs - startedMs;
      this.applyEvents(
        this.controller.finish(ticket, result, elapsedMs, this.time.nowMs),
      );
    });
  }
}

/** Creates the admission policy of a target. */
export function createAdmissionPolicy(
  {control, time}: ControlledPath,
  server: backendServer.BackendServer,
  slots: number,
): AdmissionPolicy {
  switch (control) {
    case 'camphorwharf':
      return new ProductAdmission(time, server);
    case 'per hop':
      return new FixedQueueAdmission(slots);
    case 'no control':
      return new UnlimitedAdmission();
  }
}
