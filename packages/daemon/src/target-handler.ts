import type * as admission from '@camphorwharf/admission';
import type * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as admissionTask from './admission-task.js';
import type * as backendServerCall from './backend-server-call.js';

/** Time for which a started call or a tombstone outlives its deadline. */
const REGISTER_MARGIN_MS = 1_000;

export interface TargetPathOptions {
  readonly clock: runtime.Clock;
  readonly service: string;
  readonly admission: admissionTask.AdmissionTask;
  readonly register: ownership.StartedCalls;
  readonly backendServer: backendServerCall.BackendServerCaller;
  /** The organisation's weight in the fair queue. */
  readonly weightOf: (organisation: string | null) => number;
  /** Why new calls are refused at this time; null when they are served. */
  readonly closedReason: () => protocol.RefusalReasonName | null;
}

/**
 * The path of a call that arrived from a peer: permission, admission, and
 * the exchange with the local backend server.
 */
export class TargetPath {
  constructor(private readonly options: TargetPathOptions) {}

  async handle(call: transport.IncomingCall): Promise<void> {
    const {clock} = this.options;
    const {context} = call.head;
    const closed = this.closedReason(call);
    if (closed) {
      this.refuse(call, closed, false);
      return;
    }
    const deadlineMs = clock.monotonicMs() + context.remainingMs;
    const admitted = await this.options.admission.admit(
      {
        requestId: context.requestId,
        organisation: context.organisation,
        weight: this.options.weightOf(context.organisation),
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

  private closedReason(
    call: transport.IncomingCall,
  ): protocol.RefusalReasonName | null {
    if (!call.inTime) return 'permissionExpired';
    if (call.head.service !== this.options.service) return 'targetUnavailable';
    return this.options.closedReason();
  }

  private async run(
    call: transport.IncomingCall,
    ticket: admission.AdmissionTicket,
    deadlineMs: number,
  ): Promise<void> {
    const {clock, register, admission: task} = this.options;
    const nowMs = clock.monotonicMs();
    const {requestId} = call.head.context;
    const verdict = register.start(
      requestId,
      call.head.attempt,
      deadlineMs + REGISTER_MARGIN_MS,
      nowMs,
    );
    if (verdict !== 'start') {
      task.finish(ticket, 'cancelled', 0);
      if (verdict === 'duplicate') {
        call.reportUnknown('duplicateRequest', this.trailer(0));
      } else {
        const reason = verdict === 'tombstoned' ? 'cancelled' : 'queueFull';
        this.refuse(call, reason, verdict === 'tombstoned');
      }
      return;
    }
    const ended = await this.options.backendServer.exchange(
      call,
      deadlineMs,
      retries => this.trailer(retries),
    );
    task.finish(ticket, ended, clock.monotonicMs() - nowMs);
  }

  private refuse(
    call: transport.IncomingCall,
    reason: protocol.RefusalReasonName,
    final: boolean,
  ): void {
    call.refuse(reason, final, this.trailer(call.head.context.retries));
  }

  private trailer(unspentRetries: number): transport.AnswerTrailer {
    return {
      unspentRetries,
      threshold: this.options.admission.threshold(),
    };
  }
}
