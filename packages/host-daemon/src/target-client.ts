import * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as routedRequest from './routed-request.js';
import type * as localTarget from './local-target.js';
import * as attemptOutcome from './attempt-outcome.js';
import * as reportedLoad from './reported-load.js';
import type * as requestCosts from './request-costs.js';
import * as requestPriority from './request-priority.js';
import * as timerResolution from './timer-resolution.js';

/** Time for the target's own response at the deadline to arrive. */
const DEADLINE_MARGIN_MS = 100;

/** Shorter responses of the local backend server are not admitted. */
const MINIMUM_ADMITTED_BYTES = 64 * 1024;

/** Time for a target to confirm that it never starts a call. */
const MAXIMUM_QUERY_MS = 600;

export interface TargetClientOptions {
  readonly clock: runtime.Clock;
  readonly metrics: Pick<runtime.Metrics, 'count'>;
  /** Bounds the buffered bytes of all bodies of the process. */
  readonly bodyMemory: transport.BodyMemory;
  /** Admits the responses of targets; unlimited if absent. */
  readonly responseMemory?: transport.ResponseMemory;
  /** Memory of the responses of the local backend server. */
  readonly backendResponseMemory?: transport.ResponseMemory;
  readonly peers: transport.PeerConnector;
  readonly peerPort: number;
  readonly ownAddress: string;
  readonly ownService: string;
  readonly local: localTarget.LocalTarget;
  /** Absent unless requests are admitted by their costs. */
  readonly costs?: Pick<requestCosts.RequestCosts, 'sampleOf'>;
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
  ): Promise<attemptOutcome.AttemptOutcome> {
    return server.hostAddress === this.options.ownAddress
      ? this.sendLocally(request, server, attemptNumber)
      : this.sendToPeer(request, server, attemptNumber);
  }

  private async sendLocally(
    request: routedRequest.RoutedRequest,
    server: routing.BackendServer,
    attemptNumber: number,
  ): Promise<attemptOutcome.AttemptOutcome> {
    const {clock, local} = this.options;
    const result = await local.run(
      {
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        contentLength: request.contentLength,
        requestId: request.requestId,
        attempt: attemptNumber,
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
    if (
      result.kind === 'answer' &&
      !(await this.admitLocally(request, result))
    ) {
      return {...attemptOutcome.deadlineOutcome(), load: local.load};
    }
    const isByServer =
      result.kind === 'answer' ||
      (result.kind === 'refused' && result.byServer);
    const concludedBy = isByServer ? 'backendServer' : 'thisDaemon';
    const load = reportedLoad.withResponseFigures(local.load, {
      runMs: result.kind === 'answer' ? result.runMs : undefined,
      costs: this.options.costs?.sampleOf(request),
    });
    return {result, load, unreachable: false, concludedBy};
  }

  /**
   * Waits until a long response of the local backend server fits into the
   * memory of the client connections. It stays admitted as a response of the
   * backend server until then. Returns false if the deadline is reached before.
   */
  private async admitLocally(
    request: routedRequest.RoutedRequest,
    {body}: {readonly body: Uint8Array},
  ): Promise<boolean> {
    const {backendResponseMemory, clock, responseMemory} = this.options;
    const {deadlineMs, signal, turn} = request;
    const bytes = body.length;
    if (bytes < MINIMUM_ADMITTED_BYTES) return true;
    if (!backendResponseMemory || !responseMemory) return true;
    // Nobody waits for the response, and the signal calls no listener any more.
    if (signal.aborted) return true;
    const waiting = new runtime.CancelSource();
    const endWaiting = () => waiting.abort();
    backendResponseMemory.add(bytes);
    const isAdmitted = await attemptOutcome.admit(
      responseMemory,
      bytes,
      turn,
      withdraw => {
        signal.addEventListener('abort', endWaiting);
        const remainingMs = Math.max(0, deadlineMs - clock.monotonicMs());
        void clock.delay(remainingMs, waiting).then(withdraw);
      },
    );
    endWaiting();
    signal.removeEventListener('abort', endWaiting);
    backendResponseMemory.release(bytes);
    if (isAdmitted) responseMemory.release(bytes);
    return isAdmitted || signal.aborted;
  }

  private async sendToPeer(
    request: routedRequest.RoutedRequest,
    server: routing.BackendServer,
    attemptNumber: number,
  ): Promise<attemptOutcome.AttemptOutcome> {
    const {clock, peers} = this.options;
    let link: transport.PeerLink;
    try {
      link = await peers.connect(server.hostAddress, this.options.peerPort);
    } catch {
      return attemptOutcome.unreachableOutcome();
    }
    const remainingMs = request.deadlineMs - clock.monotonicMs();
    if (remainingMs <= 1) {
      return attemptOutcome.refusedOutcome('deadlineExpired', 'thisDaemon');
    }
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
    const outcome = await attemptOutcome.readResult(
      result,
      this.options.bodyMemory,
      this.options.responseMemory,
      request.turn,
    );
    clearTimeout(timer);
    request.signal.removeEventListener('abort', cancel);
    if (outcome !== 'lost') return this.checkLoad(outcome);
    if (result.kind === 'lost' && !result.sent) {
      // The caller's cancellation says nothing about the state of the target.
      return request.signal.aborted
        ? attemptOutcome.refusedOutcome('cancelled', 'connectionNotWritten')
        : attemptOutcome.unreachableOutcome();
    }
    if (cancelSource.aborted) {
      return attemptOutcome.deadlineOutcome();
    }
    // The call has started: its response has begun.
    if (result.kind !== 'lost') return attemptOutcome.lostOutcome();
    const query = await this.confirmNeverStarts(request, server, {
      requestId: request.requestId,
      attempt: attemptNumber,
      incarnation: link.remote.incarnation,
      sentAfterMs: result.sentAfterMs,
    });
    const cancelVerdict = query.verdict;
    if (query.isConfirmed) {
      const outcome = attemptOutcome.refusedOutcome(
        'targetUnavailable',
        'withdrawal',
      );
      return {...outcome, cancelVerdict};
    }
    return {...attemptOutcome.lostOutcome(), cancelVerdict};
  }

  private checkLoad(
    outcome: attemptOutcome.AttemptOutcome,
  ): attemptOutcome.AttemptOutcome {
    const {load} = outcome;
    if (!load || reportedLoad.isCredibleLoad(load)) return outcome;
    this.options.metrics.count(
      'peer_loads_rejected_total',
      'Loads reported by peers that were not used: figures out of range.',
    );
    return {...outcome, load: undefined};
  }

  /**
   * The connection may have been silent before the call was sent. The lost one
   * is closed, so that this opens another.
   */
  private async confirmNeverStarts(
    request: routedRequest.RoutedRequest,
    server: routing.BackendServer,
    call: transport.LostCall,
  ): Promise<{readonly isConfirmed: boolean; readonly verdict: string}> {
    const {clock, metrics, peerPort, peers} = this.options;
    const remainingMs = request.deadlineMs - clock.monotonicMs();
    if (remainingMs <= 0) return {isConfirmed: false, verdict: 'notAsked'};
    let verdict = 'notAnswered';
    const timeout = new AbortController();
    const isConfirmed = await Promise.race([
      transport.confirmNeverStarts(
        () => peers.connect(server.hostAddress, peerPort),
        call,
        metrics,
        received => (verdict = received),
      ),
      clock
        .delay(Math.min(remainingMs, MAXIMUM_QUERY_MS), timeout.signal)
        .then(() => false),
    ]);
    timeout.abort();
    return {isConfirmed, verdict};
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

function streamingBody(
  body: routedRequest.RoutedRequest['body'],
): AsyncIterable<Uint8Array> | null {
  return body instanceof Uint8Array ? null : body;
}
