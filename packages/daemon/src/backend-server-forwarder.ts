import * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import * as callerRequest from './caller-request.js';
import type * as handles from './handles.js';

/** Status by which a backend server says that it sheds load. */
const STATUS_SHEDDING = 503;

export interface BackendServerCallerOptions {
  readonly clock: runtime.Clock;
  readonly client: transport.BackendServerClient;
  readonly running: handles.RunningCalls;
}

/** Turns the trailer's retries into a whole trailer. */
type TrailerSource = (unspentRetries: number) => transport.AnswerTrailer;

/** Carries one started call to the local backend server and back. */
export class BackendServerCaller {
  constructor(private readonly options: BackendServerCallerOptions) {}

  /** Answers the peer and tells admission how the call ended. */
  async exchange(
    call: transport.IncomingCall,
    deadlineMs: number,
    trailer: TrailerSource,
  ): Promise<admission.AdmissionResult> {
    const {context} = call.head;
    const budget = new admission.RequestRetryBudget(context.retries);
    const ended = new AbortController();
    const running = this.options.running.add({
      context,
      deadlineMs,
      budget,
      signal: AbortSignal.any([call.signal, ended.signal]),
    });
    try {
      return await this.send(call, running, trailer);
    } finally {
      ended.abort();
      this.options.running.remove(running.handle);
    }
  }

  private async send(
    call: transport.IncomingCall,
    running: handles.RunningCall,
    trailer: TrailerSource,
  ): Promise<admission.AdmissionResult> {
    const {clock, client} = this.options;
    const {head} = call;
    const remainingMs = running.deadlineMs - clock.monotonicMs();
    if (remainingMs <= 0) {
      call.refuse('deadlineExpired', true, trailer(running.budget.left));
      return 'cancelled';
    }
    const result = await client.send({
      method: head.method,
      path: head.path,
      headers: backendServerHeaders(head, running.handle, remainingMs),
      contentLength: head.contentLength,
      body: call.body,
      deadlineMs: remainingMs,
      signal: call.signal,
    });
    switch (result.kind) {
      case 'notSent':
        call.refuse('targetUnavailable', false, trailer(running.budget.left));
        return 'failed';
      case 'lost': {
        const late = clock.monotonicMs() >= running.deadlineMs;
        const reason = late ? 'deadlineDuringRun' : 'backendServerFailed';
        call.reportUnknown(reason, trailer(running.budget.left));
        if (call.signal.aborted) return 'cancelled';
        return 'failed';
      }
      case 'answer':
        return this.answer(call, result, () => trailer(running.budget.left));
    }
  }

  private async answer(
    call: transport.IncomingCall,
    result: Extract<transport.BackendResult, {kind: 'answer'}>,
    trailer: () => transport.AnswerTrailer,
  ): Promise<admission.AdmissionResult> {
    const {status, contentLength, body} = result;
    const headers = callerRequest.passedHeaders(result.headers);
    try {
      await call.answer({status, headers, contentLength}, body, trailer);
    } catch {
      // The transport has told the peer that the answer is incomplete.
      return call.signal.aborted ? 'cancelled' : 'failed';
    }
    return status === STATUS_SHEDDING ? 'overloaded' : 'succeeded';
  }
}

/** The caller's headers and what the backend server may know of the call. */
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
