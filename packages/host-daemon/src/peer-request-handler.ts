import * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as peerReporter from './peer-reporter.js';
import type * as localTarget from './local-target.js';
import type * as requestCosts from './request-costs.js';
import * as reportedLoad from './reported-load.js';
import * as requestPriority from './request-priority.js';
import type * as stopSchedule from './stop-schedule.js';
import type * as targetCall from './target-call.js';

/** Time after their deadline for which started calls are kept. */
const CALL_RETENTION_MARGIN_MS = 1_000;

/**
 * Responses above this size are sent in chunks, as the entry grants credit, all
 * others in a single frame. Equals the initial credit, so that the entry admits
 * all that exceeds it to its memory before it arrives.
 */
const MAXIMUM_SINGLE_FRAME_BYTES = 256 * 1024;

/**
 * Part of the limit on responses that one connection may hold unsent. Beyond
 * it, further calls of that peer are refused while the memory is full, so that
 * one slow entry does not keep the memory from all others.
 */
const LINK_RESPONSE_RATIO = 0.25;

export interface PeerRequestHandlerOptions {
  readonly clock: runtime.Clock;
  readonly service: string;
  readonly incarnation: string;
  readonly local: localTarget.LocalTarget;
  readonly stopSchedule: stopSchedule.StopSchedule;
  /** Bounds the bodies of calls that wait or run, with those of clients. */
  readonly bodyMemory: transport.BodyMemory;
  /** Bounds the responses that wait to be sent; unlimited if absent. */
  readonly responseMemory?: transport.ResponseMemory;
  readonly startedCalls: ownership.StartedCalls;
  readonly reporter: () => peerReporter.PeerReporter;
  /** Absent unless requests are admitted by their costs. */
  readonly costs?: Pick<requestCosts.RequestCosts, 'sampleOf'>;
}

/**
 * Handles calls, control requests and reports from peers in
 * packages/host-daemon. `TargetHandler` of packages/daemon handles calls only
 * and streams their responses.
 */
export class PeerRequestHandler implements transport.PeerHandler {
  private running = 0;
  private readonly responseMemory: transport.ResponseMemory;
  /** Bytes of long responses that have not been sent; absent without any. */
  private readonly unsentBytes = new Map<transport.PeerLink, number>();

  constructor(private readonly options: PeerRequestHandlerOptions) {
    this.responseMemory =
      options.responseMemory ?? new transport.ResponseMemory(Infinity);
  }

  /** Number of calls whose result has not been sent yet. */
  get runningCalls(): number {
    return this.running;
  }

  async onCall(
    call: transport.IncomingCall,
    link: transport.PeerLink,
  ): Promise<void> {
    if (this.exceedsLinkShare(call, link)) {
      this.refuse(call, 'queueFull', 0);
      return;
    }
    const reservation = this.reserveBody(call);
    if (reservation === 'refused') {
      this.refuse(call, 'queueFull', 0);
      return;
    }
    this.running++;
    try {
      await this.handleCall(call, link);
    } finally {
      this.running--;
      reservation?.release();
    }
  }

  /**
   * Whether a call is refused for the responses that its peer has not taken. A
   * nested call is part of a request that runs already.
   */
  private exceedsLinkShare(
    call: transport.IncomingCall,
    link: transport.PeerLink,
  ): boolean {
    const {isFull, limitBytes} = this.responseMemory;
    if (!isFull || call.head.nested) return false;
    const unsentBytes = this.unsentBytes.get(link) ?? 0;
    return unsentBytes > limitBytes * LINK_RESPONSE_RATIO;
  }

  private countUnsent(link: transport.PeerLink, bytes: number): void {
    const unsentBytes = (this.unsentBytes.get(link) ?? 0) + bytes;
    if (unsentBytes === 0) this.unsentBytes.delete(link);
    else this.unsentBytes.set(link, unsentBytes);
  }

  /** Returns null for a call without a body in its frame. */
  private reserveBody(
    call: transport.IncomingCall,
  ): transport.MemoryReservation | null | 'refused' {
    const {wholeBody} = call.head;
    if (!wholeBody) return null;
    const reservation = this.options.bodyMemory.open(null);
    return reservation.tryGrow(wholeBody.length) ? reservation : 'refused';
  }

  private async handleCall(
    call: transport.IncomingCall,
    link: transport.PeerLink,
  ): Promise<void> {
    const {clock, local, startedCalls, stopSchedule, service} = this.options;
    const {head} = call;
    if (!call.permissionValid || head.service !== service || !head.instance) {
      const reason = call.permissionValid
        ? 'targetUnavailable'
        : 'permissionExpired';
      this.refuse(call, reason, 0);
      return;
    }
    const nowMs = clock.monotonicMs();
    const {context, nested = false} = head;
    const {requestId, remainingMs, organisation, idempotent} = context;
    const deadlineMs = nowMs + remainingMs;
    // A peer may not know of the stop yet.
    if (!stopSchedule.mayBegin({nested, deadlineMs}, nowMs)) {
      this.refuse(call, 'targetLeaving', 0);
      return;
    }
    const verdict = startedCalls.start(
      requestId,
      head.attempt,
      call.acceptedMs,
      deadlineMs + CALL_RETENTION_MARGIN_MS,
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
    const result = await local.run(
      {
        method: head.method,
        path: head.path,
        headers: head.headers,
        body: call.body ?? head.wholeBody ?? null,
        contentLength: head.contentLength,
        requestId,
        attempt: head.attempt,
        instance: head.instance,
        callerService: head.callerService ?? '',
        organisation,
        priority: requestPriority.decodePriority(context),
        nested,
        idempotent,
        remainingMs,
        objectiveMs: head.objectiveMs ?? remainingMs,
      },
      call.cancelSignal,
    );
    await this.sendResult(call, link, result);
  }

  async onRequest(
    body: protocol.ControlRequest,
  ): Promise<protocol.ControlReply> {
    const {clock, incarnation, startedCalls} = this.options;
    switch (body.kind) {
      case 'cancelIfNotStarted': {
        return ownership.answerCancelQuery(
          body,
          startedCalls,
          incarnation,
          clock.monotonicMs(),
        );
      }
      case 'configurationDigest':
        return this.options.reporter().answerStateQuery(body);
      default:
        return {kind: 'unsupported'};
    }
  }

  onReport(
    report: Readonly<Record<string, unknown>>,
    link: transport.PeerLink,
  ): void {
    this.options.reporter().receive(report, link);
  }

  private async sendResult(
    call: transport.IncomingCall,
    link: transport.PeerLink,
    result: targetCall.CallResult,
  ): Promise<void> {
    switch (result.kind) {
      case 'answer': {
        const {status, headers, body, refusedBy, runMs} = result;
        if (body.length <= MAXIMUM_SINGLE_FRAME_BYTES) {
          const trailer = this.trailer({
            runMs,
            refusedBy,
            costs: this.options.costs?.sampleOf(call.head),
          });
          call.respondWhole({status, headers}, body, trailer);
          return;
        }
        this.responseMemory.add(body.length);
        this.countUnsent(link, body.length);
        try {
          await call.respond(
            {status, headers, contentLength: body.length},
            singleChunk(body),
            () => this.trailer(),
          );
        } finally {
          this.responseMemory.release(body.length);
          this.countUnsent(link, -body.length);
        }
        return;
      }
      case 'refused':
        this.refuse(call, result.reason, result.retryAfterMs, result.byServer);
        return;
      case 'unknown':
        call.reportUnknown(result.reason, this.trailer());
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

  private trailer(
    extra: reportedLoad.ResponseFigures = {},
  ): transport.ResponseTrailer {
    const {load} = this.options.local;
    return {
      unspentRetries: 0,
      threshold: null,
      load: reportedLoad.withResponseFigures(load, extra),
    };
  }
}

async function* singleChunk(body: Uint8Array): AsyncGenerator<Uint8Array> {
  yield body;
}
