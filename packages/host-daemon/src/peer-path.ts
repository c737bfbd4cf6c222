import type * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as fleetReports from './fleet-reports.js';
import type * as localTarget from './local-target.js';
import * as requestPriority from './request-priority.js';
import type * as targetCall from './target-call.js';

/** Time for which a started call or a tombstone outlives its deadline. */
const REGISTER_MARGIN_MS = 1_000;

/** Answers above this size go in parts; the rest fits into one frame. */
const WHOLE_ANSWER_BYTES = 1024 * 1024;

export interface PeerPathOptions {
  readonly clock: runtime.Clock;
  readonly service: string;
  readonly incarnation: string;
  readonly local: localTarget.LocalTarget;
  readonly register: ownership.StartedCalls;
  readonly reports: () => fleetReports.FleetReports;
}

/** Serves what arrives on peer connections. */
export class PeerPath implements transport.PeerHandler {
  constructor(private readonly options: PeerPathOptions) {}

  async onCall(call: transport.IncomingCall): Promise<void> {
    const {clock, local, register, service} = this.options;
    const {head} = call;
    if (!call.inTime || head.service !== service || !head.instance) {
      const reason = call.inTime ? 'targetUnavailable' : 'permissionExpired';
      this.refuse(call, reason, 0);
      return;
    }
    const nowMs = clock.monotonicMs();
    const {context} = head;
    const {requestId, remainingMs, organisation, idempotent} = context;
    const verdict = register.start(
      requestId,
      head.attempt,
      nowMs + remainingMs + REGISTER_MARGIN_MS,
      nowMs,
    );
    if (verdict !== 'start') {
      if (verdict === 'duplicate' && !idempotent) {
        call.reportUnknown('duplicateRequest', this.trailer());
        return;
      }
      if (verdict !== 'duplicate') {
        this.refuse(
          call,
          verdict === 'tombstoned' ? 'cancelled' : 'queueFull',
          0,
        );
        return;
      }
    }
    const answer = await local.run(
      {
        method: head.method,
        path: head.path,
        headers: head.headers,
        body: call.body ?? head.wholeBody ?? null,
        contentLength: head.contentLength,
        requestId,
        instance: head.instance,
        callerService: head.callerService ?? '',
        organisation,
        priority: requestPriority.priorityOf(context),
        nested: head.nested ?? false,
        idempotent,
        remainingMs,
        objectiveMs: head.objectiveMs ?? remainingMs,
      },
      call.cancelSignal,
    );
    await this.respond(call, answer);
  }

  async onRequest(
    body: protocol.ControlRequest,
  ): Promise<protocol.ControlReply> {
    const {clock, incarnation, register} = this.options;
    switch (body.kind) {
      case 'cancelIfNotStarted': {
        if (body.incarnation !== incarnation) {
          return {kind: 'cancelAnswer', verdict: 'otherIncarnation'};
        }
        const nowMs = clock.monotonicMs();
        return {
          kind: 'cancelAnswer',
          verdict: register.cancelIfNotStarted(
            body.requestId,
            body.attempt,
            nowMs + REGISTER_MARGIN_MS,
            nowMs,
          ),
        };
      }
      case 'configurationDigest':
        return this.options.reports().answerStateQuery();
      default:
        return {kind: 'unsupported'};
    }
  }

  onReport(
    report: Readonly<Record<string, unknown>>,
    link: transport.PeerLink,
  ): void {
    this.options.reports().receive(report, link);
  }

  private async respond(
    call: transport.IncomingCall,
    answer: targetCall.TargetAnswer,
  ): Promise<void> {
    switch (answer.kind) {
      case 'answer': {
        const {status, headers, body} = answer;
        if (body.length <= WHOLE_ANSWER_BYTES) {
          call.answerWhole({status, headers}, body, this.trailer());
          return;
        }
        await call.answer(
          {status, headers, contentLength: body.length},
          oneChunk(body),
          () => this.trailer(),
        );
        return;
      }
      case 'refused':
        this.refuse(call, answer.reason, answer.retryAfterMs, answer.byServer);
        return;
      case 'unknown':
        call.reportUnknown(answer.reason, this.trailer());
        return;
    }
  }

  private refuse(
    call: transport.IncomingCall,
    reason: protocol.RefusalReasonName,
    retryAfterMs: number,
    byServer = false,
  ): void {
    call.refuse(reason, false, {...this.trailer(), retryAfterMs, byServer});
  }

  private trailer(): transport.AnswerTrailer {
    return {
      unspentRetries: 0,
      threshold: null,
      load: this.options.local.load,
    };
  }
}

async function* oneChunk(body: Uint8Array): AsyncGenerator<Uint8Array> {
  yield body;
}
