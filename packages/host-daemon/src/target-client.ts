import * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as routedRequest from './routed-request.js';
import type * as localTarget from './local-target.js';
import * as requestPriority from './request-priority.js';
import * as timerResolution from './timer-resolution.js';
import type * as targetCall from './target-call.js';

/** Time for the target's own response at the deadline to arrive. */
const DEADLINE_MARGIN_MS = 100;

/** Time for a target to confirm that it never starts a call. */
const MAXIMUM_QUERY_MS = 600;

/** Retry delay for callers when the target gives none. */
const DEFAULT_RETRY_AFTER_MS = 300;

export interface TargetClientOptions {
  readonly clock: runtime.Clock;
  readonly metrics: Pick<runtime.Metrics, 'count'>;
  /** Bounds the buffered bytes of all bodies of the process. */
  readonly bodyMemory: transport.BodyMemory;
  readonly peers: transport.PeerConnector;
  readonly peerPort: number;
  readonly ownAddress: string;
  readonly ownService: string;
  readonly local: localTarget.LocalTarget;
}

/** Result of one attempt at one target. */
export interface AttemptOutcome {
  readonly result: targetCall.CallResult;
  readonly load: protocol.ReportedLoad | undefined;
  /** Whether no byte of the call has reached the target's daemon. */
  readonly unreachable: boolean;
}

/** Sends one attempt to its target, on this host or through a peer. */
export class TargetClient {
  constructor(private readonly options: TargetClientOptions) {}

  /**
   * Never rejects. `attemptNumber` distinguishes the attempts of one request.
   */
  send(
    request: routedRequest.RoutedRequest,
    server: routing.BackendServer,
    attemptNumber: number,
  ): Promise<AttemptOutcome> {
    return server.hostAddress === this.options.ownAddress
      ? this.sendLocally(request, server)
      : this.sendToPeer(request, server, attemptNumber);
  }

  private async sendLocally(
    request: routedRequest.RoutedRequest,
    server: routing.BackendServer,
  ): Promise<AttemptOutcome> {
    const {clock, local} = this.options;
    const result = await local.run(
      {
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        contentLength: request.contentLength,
        requestId: request.requestId,
        instance: server.instance,
        callerService: this.options.ownService,
        organisation: request.organisation?.name ?? null,
        priority: request.priority,
        nested: request.nested,
        idempotent: request.route.idempotent,
        remainingMs: request.deadlineMs - clock.monotonicMs(),
        objectiveMs: request.route.objectiveMs,
      },
      request.signal,
    );
    return {result, load: local.load, unreachable: false};
  }

  private async sendToPeer(
    request: routedRequest.RoutedRequest,
    server: routing.BackendServer,
    attemptNumber: number,
  ): Promise<AttemptOutcome> {
    const {clock, peers} = this.options;
    let link: transport.PeerLink;
    try {
      link = await peers.connect(server.hostAddress, this.options.peerPort);
    } catch {
      return unreachableOutcome();
    }
    const remainingMs = request.deadlineMs - clock.monotonicMs();
    if (remainingMs <= 1) return refusedOutcome('deadlineExpired');
    const cancelSource = new runtime.CancelSource();
    const cancel = () => cancelSource.abort();
    const timer = setTimeout(
      cancel,
      timerResolution.roundUpDelay(remainingMs + DEADLINE_MARGIN_MS),
    );
    if (request.signal.aborted) cancel();
    else request.signal.addEventListener('abort', cancel);
    const result = await link.call(
      this.outgoingCall(request, server, attemptNumber, remainingMs),
      streamingBody(request.body),
      {
        permissionMs: Math.min(remainingMs, protocol.PERMISSION_LIFETIME_MS),
        signal: cancelSource,
      },
    );
    const outcome = await readResult(result, this.options.bodyMemory);
    clearTimeout(timer);
    request.signal.removeEventListener('abort', cancel);
    if (outcome !== 'lost') return outcome;
    if (result.kind === 'lost' && !result.sent) {
      // The caller's cancellation says nothing about the state of the target.
      return request.signal.aborted
        ? refusedOutcome('cancelled')
        : unreachableOutcome();
    }
    if (cancelSource.aborted) {
      return {
        result: {kind: 'unknown', reason: 'deadlineDuringRun'},
        load: undefined,
        unreachable: false,
      };
    }
    // A call whose response has begun has started.
    const isWithdrawn =
      result.kind === 'lost' &&
      (await this.confirmNeverStarts(request, server, {
        requestId: request.requestId,
        attempt: attemptNumber,
        incarnation: link.remote.incarnation,
        sentAfterMs: result.sentAfterMs,
      }));
    if (isWithdrawn) return refusedOutcome('targetUnavailable');
    return {
      result: {kind: 'unknown', reason: 'answerLost'},
      load: undefined,
      unreachable: true,
    };
  }

  /**
   * The connection may have been silent before the call was sent. The lost one
   * is closed, so that this opens another.
   */
  private async confirmNeverStarts(
    request: routedRequest.RoutedRequest,
    server: routing.BackendServer,
    call: transport.LostCall,
  ): Promise<boolean> {
    const {clock, metrics, peerPort, peers} = this.options;
    const remainingMs = request.deadlineMs - clock.monotonicMs();
    if (remainingMs <= 0) return false;
    const timeout = new AbortController();
    const isConfirmed = await Promise.race([
      transport.confirmNeverStarts(
        () => peers.connect(server.hostAddress, peerPort),
        call,
        metrics,
      ),
      clock
        .delay(Math.min(remainingMs, MAXIMUM_QUERY_MS), timeout.signal)
        .then(() => false),
    ]);
    timeout.abort();
    return isConfirmed;
  }

  private outgoingCall(
    request: routedRequest.RoutedRequest,
    server: routing.BackendServer,
    attemptNumber: number,
    remainingMs: number,
  ): transport.OutgoingCall {
    const {body} = request;
    const isBuffered = body instanceof Uint8Array;
    return {
      attempt: attemptNumber,
      service: request.service,
      method: request.method,
      path: request.path,
      headers: request.headers,
      contentLength: request.contentLength,
      hasBody: body !== null && !isBuffered,
      context: {
        requestId: request.requestId,
        organisation: request.organisation?.name ?? null,
        ...requestPriority.encodePriority(request.priority),
        remainingMs,
        retries: 0,
        depth: 1,
        idempotent: request.route.idempotent,
        idempotencyKey: null,
      },
      ...(isBuffered ? {wholeBody: body} : {}),
      instance: server.instance,
      callerService: this.options.ownService,
      objectiveMs: request.route.objectiveMs,
      nested: request.nested,
    };
  }
}

/** Reads a result to its end; returns `lost` if the response is incomplete. */
async function readResult(
  result: transport.PeerResult,
  memory: transport.BodyMemory,
): Promise<AttemptOutcome | 'lost'> {
  switch (result.kind) {
    case 'whole': {
      const {status, headers, body, load} = result;
      return {
        result: {kind: 'answer', status, headers, body},
        load,
        unreachable: false,
      };
    }
    case 'answer': {
      const body = await readBody(result.body, memory);
      if (!body) return 'lost';
      const {status, headers} = result;
      return {
        result: {kind: 'answer', status, headers, body},
        load: undefined,
        unreachable: false,
      };
    }
    case 'refused':
      return {
        result: {
          kind: 'refused',
          reason: result.reason,
          retryAfterMs: result.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
          byServer: result.byServer ?? false,
        },
        load: result.load,
        unreachable: false,
      };
    case 'unknown':
      return {
        result: {kind: 'unknown', reason: result.reason},
        load: result.load,
        unreachable: false,
      };
    case 'lost':
      return 'lost';
  }
}

/** Returns null if the body is incomplete or does not fit into the memory. */
async function readBody(
  body: AsyncIterable<Uint8Array>,
  memory: transport.BodyMemory,
): Promise<Uint8Array | null> {
  let isEvicted = false;
  const buffer = new transport.BodyBuffer(
    memory.open(() => (isEvicted = true)),
  );
  try {
    for await (const chunk of body) {
      if (isEvicted || !buffer.append(chunk)) return null;
    }
    return isEvicted ? null : buffer.take();
  } catch {
    return null;
  } finally {
    buffer.clear();
  }
}

function streamingBody(
  body: routedRequest.RoutedRequest['body'],
): AsyncIterable<Uint8Array> | null {
  return body instanceof Uint8Array ? null : body;
}

function unreachableOutcome(): AttemptOutcome {
  return {...refusedOutcome('targetUnavailable'), unreachable: true};
}

function refusedOutcome(reason: protocol.RefusalReasonName): AttemptOutcome {
  return {
    result: {
      kind: 'refused',
      reason,
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      byServer: false,
    },
    load: undefined,
    unreachable: false,
  };
}
