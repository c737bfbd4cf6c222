import * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as backendServer from './backend-server.js';
import type * as request from './request.js';
import type * as virtualTime from './virtual-time.js';

/** A call at the daemon of a target. */
export interface GateCall {
  readonly request: request.Request;
  /** Runs the call; `finish` is called exactly once when it ends. */
  readonly start: (finish: (result: admission.AdmissionResult) => void) => void;
  readonly refuse: (reason: protocol.RefusalReasonName) => void;
}

/** Decides which calls a target starts. */
export interface Gate {
  offer(call: GateCall): void;
  threshold(): admission.ShareThreshold | null;
  coldStart(): void;
}

/** No control: every call goes to the backend server. */
export class OpenGate implements Gate {
  offer(call: GateCall): void {
    call.start(() => {});
  }

  threshold(): null {
    return null;
  }

  coldStart(): void {}
}

/** Declared slots and a first-come-first-served queue of fixed length. */
export class FixedGate implements Gate {
  private inFlight = 0;
  private readonly queue: GateCall[] = [];

  constructor(private readonly slots: number) {}

  offer(call: GateCall): void {
    if (this.queue.length >= 4 * this.slots) {
      call.refuse('queueFull');
      return;
    }
    this.queue.push(call);
    this.fill();
  }

  threshold(): null {
    return null;
  }

  coldStart(): void {}

  private fill(): void {
    while (this.inFlight < this.slots && this.queue.length > 0) {
      this.inFlight++;
      this.queue.shift()!.start(() => {
        this.inFlight--;
        this.fill();
      });
    }
  }
}

/** The product's admission. */
export class AdmissionGate implements Gate {
  readonly controller = new admission.TargetAdmission();
  private readonly calls = new Map<admission.AdmissionTicket, GateCall>();

  constructor(
    private readonly time: virtualTime.VirtualTime,
    server: backendServer.BackendServer,
  ) {
    time.every(50, () => this.take(this.controller.tick(time.nowMs)));
    time.every(200, () => {
      const {inFlight, slots} = server.reportLoad();
      this.controller.noteReportedLoad(inFlight, slots, time.nowMs);
    });
  }

  offer(call: GateCall): void {
    const {verdict, events} = this.controller.offer(
      call.request,
      this.time.nowMs,
    );
    switch (verdict.kind) {
      case 'start':
        this.start(verdict.ticket, call);
        break;
      case 'wait':
        this.calls.set(verdict.ticket, call);
        break;
      case 'refuse':
        call.refuse(verdict.reason);
        break;
    }
    this.take(events);
  }

  threshold(): admission.ShareThreshold | null {
    return this.controller.threshold(this.time.nowMs);
  }

  coldStart(): void {
    this.controller.beginColdStart(this.time.nowMs);
  }

  private take(events: readonly admission.AdmissionEvent[]): void {
    for (const event of events) {
      const call = this.calls.get(event.ticket);
      this.calls.delete(event.ticket);
      if (!call) throw new Error('event for a call that does not wait');
      if (event.kind === 'start') this.start(event.ticket, call);
      else call.refuse(event.reason);
    }
  }

  private start(ticket: admission.AdmissionTicket, call: GateCall): void {
    const startedMs = this.time.nowMs;
    call.start(result => {
      const spentMs = this.time.nowMs - startedMs;
      this.take(
        this.controller.finish(ticket, result, spentMs, this.time.nowMs),
      );
    });
  }
}
