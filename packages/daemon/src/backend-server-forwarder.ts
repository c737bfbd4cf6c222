import * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import * as callerRequest from './caller-request.js';
import type * as runningCallRegistry from './running-call-registry.js';

/** HTTP status that a backend server returns when it sheds load. */
const OVERLOADED_STATUS = 503;

export interface BackendServerForwarderOptions {
  readonly clock: runtime.Clock;
  readonly client: transport.BackendServerClient;
  readonly runningCalls: runningCallRegistry.RunningCallRegistry;
}

/** Creates the response trailer for the number of unspent retries. */
type TrailerFactory = (unspentRetries: number) => transport.ResponseTrailer;

/** Forwards started calls to the local backend server. */
export class BackendServerForwarder {
  constructor(private readonly options: BackendServerForwarderOptions) {}

  /**
   * Forwards the call, responds to the peer and returns the admission result.
   */
  async forward(
    call: transport.IncomingCall,
    deadlineMs: number,
    createTrailer: TrailerFactory,
  ): Promise<admission.AdmissionResult> {
    const {context} = call.head;
    const budget = new admission.RequestRetryBudget(context.retries);
    const completion = new AbortController();
    const runningCall = this.options.runningCalls.register({
      context,
      deadlineMs,
      budget,
      signal: AbortSignal.any([call.signal, completion.signal]),
    });
    try {
      return await this.send(call, runningCall, createTrailer);
    } finally {
      completion.abort();
      this.options.runningCalls.remove(runningCall.handle);
    }
  }

  private async send(
    call: transport.IncomingCall,
    runningCall: runningCallRegistry.RunningCall,
    createTrailer: TrailerFactory,
  ): Promise<admission.AdmissionResult> {
    const {clock, client} = this.options;
    const {head} = call;
    const remainingMs = runningCall.deadlineMs - clock.monotonicMs();
    if (remainingMs <= 0) {
      call.refuse(
        'deadlineExpired',
        true,
        createTrailer(runningCall.budget.remaining),
      );
      return 'cancelled';
    }
    const result = await client.send({
      method: head.method,
      path: head.path,
      headers: backendServerHeaders(head, runningCall.handle, remainingMs),
      contentLength: head.contentLength,
      body: call.body,
      deadlineMs: remainingMs,
      signal: call.signal,
    });
    switch (result.kind) {
      case 'notSent':
        call.refuse(
          'targetUnavailable',
          false,
          createTrailer(runningCall.budget.remaining),
        );
        return 'failed';
      case 'lost': {
        const deadlinePassed = clock.monotonicMs() >= runningCall.deadlineMs;
        const reason = deadlinePassed
          ? 'deadlineDuringRun'
          : 'backendServerFailed';
        call.reportUnknown(reason, createTrailer(runningCall.budget.remaining));
        if (call.signal.aborted) return 'cancelled';
        return 'failed';
      }
      case 'answer':
        return this.sendResponse(call, result, () =>
          createTrailer(runningCall.budget.remaining),
        );
    }
  }

  private async sendResponse(
    call: transport.IncomingCall,
    result: Extract<transport.BackendResult, {kind: 'answer'}>,
    createTrailer: () => transport.ResponseTrailer,
  ): Promise<admission.AdmissionResult> {
    const {status, contentLength, body} = result;
    const headers = callerRequest.passedHeaders(result.headers);
    try {
      await call.respond({status, headers, contentLength}, body, createTrailer);
    } catch {
      // The transport has already reported the incomplete response to the peer.
      return call.signal.aborted ? 'cancelled' : 'failed';
    }
    return status === OVERLOADED_STATUS ? 'overloaded' : 'succeeded';
  }
}

/** Returns the caller's headers plus call metadata for the backend server. */
function backendServerHeaders(
  head: protocol.Call,
  handle: string,
  remainingMs: number,
): protocol.HeaderList {
  const {context} = head;
  const headers: Array<readonly [string, string]> = [
    ...callerRequest.passedHeaders(head.headers),
    [callerRequest.HANDLE_HEADER, handle],
    ['camphorwharf-remaining-ms', String(Math.floor(remainingMs))],
    ['camphorwharf-request-id', context.requestId],
  ];
  if (context.organisation !== null) {
    headers.push(['camphorwharf-organisation', context.organisation]);
  }
  if (context.idempotencyKey !== null) {
    headers.push([
      callerRequest.IDEMPOTENCY_KEY_HEADER,
      context.idempotencyKey,
    ]);
  }
  return headers;
}
