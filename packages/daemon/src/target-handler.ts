import type * as admission from '@camphorwharf/admission';
import * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as admissionTask from './admission-task.js';
import type * as backendServerForwarder from './backend-server-forwarder.js';

/**
 * Time for which tombstones are kept. A call that waits for admission for 8 s
 * less than this does not start.
 */
const TOMBSTONE_MS = 60_000;

/** Time after the deadline for which started calls are kept. */
const STARTED_CALL_RETENTION_MS = 1_000;

export interface TargetHandlerOptions {
  readonly clock: runtime.Clock;
  readonly service: string;
  readonly admission: admissionTask.AdmissionTask;
  readonly startedCalls: ownership.StartedCalls;
  readonly backendServer: backendServerForwarder.BackendServerForwarder;
  /** Returns the organisation's weight in the fair queue. */
  readonly queueWeightOf: (organisation: string | null) => number;
  /** Returns why new calls are refused; null if they are accepted. */
  readonly refusalReason: () => protocol.RefusalReasonName | null;
}

/**
 * Handles calls from peers in packages/daemon: checks the start permission,
 * waits for admission and forwards the call to the local backend server.
 * Control requests go to `ControlRequestHandler`; in packages/host-daemon,
 * `PeerRequestHandler` handles both.
 */
export class TargetHandler {
  constructor(private readonly options: TargetHandlerOptions) {}

  async handle(call: transport.IncomingCall): Promise<void> {
    const {clock} = this.options;
    const {context} = call.head;
    const refusalReason = this.findRefusalReason(call);
    if (refusalReason) {
      this.refuse(call, refusalReason, false);
      return;
    }
    const deadlineMs = clock.monotonicMs() + context.remainingMs;
    const admitted = await this.options.admission.admit(
      {
        requestId: context.requestId,
        organisation: context.organisation,
        weight: this.options.queueWeightOf(context.organisation),
        importance: context.importance,
        rank: context.rank,
        deadlineMs,
      },
      call.signal,
    );
    if (admitted.kind === 'refused') {
      this.refuse(call, admitted.reason, false);
      return;
    }
    await this.run(call, admitted.ticket, deadlineMs);
  }

  private findRefusalReason(
    call: transport.IncomingCall,
  ): protocol.RefusalReasonName | null {
    if (!call.permissionValid) return 'permissionExpired';
    if (call.head.service !== this.options.service) return 'targetUnavailable';
    return this.options.refusalReason();
  }

  private async run(
    call: transport.IncomingCall,
    ticket: admission.AdmissionTicket,
    deadlineMs: number,
  ): Promise<void> {
    const {clock, startedCalls, admission: task} = this.options;
    const nowMs = clock.monotonicMs();
    const {requestId} = call.head.context;
    const verdict = startedCalls.start(
      requestId,
      call.head.attempt,
      call.acceptedMs,
      deadlineMs + STARTED_CALL_RETENTION_MS,
      nowMs,
    );
    if (verdict !== 'start') {
      task.finish(ticket, 'cancelled', 0);
      if (verdict === 'duplicate') {
        call.reportUnknown('duplicateRequest', this.createTrailer(0));
      } else {
        const reason = verdict === 'tombstoned' ? 'cancelled' : 'queueFull';
        this.refuse(call, reason, verdict === 'tombstoned');
      }
      return;
    }
    const result = await this.options.backendServer.forward(
      call,
      deadlineMs,
      retries => this.createTrailer(retries),
    );
    task.finish(ticket, result, clock.monotonicMs() - nowMs);
  }

  private refuse(
    call: transport.IncomingCall,
    reason: protocol.RefusalReasonName,
    final: boolean,
  ): void {
    call.refuse(reason, final, this.createTrailer(call.head.context.retries));
  }

  private createTrailer(unspentRetries: number): transport.ResponseTrailer {
    return {
      unspentRetries,
      threshold: this.options.admission.threshold(),
    };
  }
}

/** Creates the register of the calls that `TargetHandler` starts. */
export function createCallRegister(): ownership.StartedCalls {
  return new ownership.CallRegister({tombstoneMs: TOMBSTONE_MS});
}
