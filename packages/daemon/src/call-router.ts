import type * as admission from '@camphorwharf/admission';
import type * as coordination from '@camphorwharf/coordination';
import type * as declaration from '@camphorwharf/declaration';
import * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import * as attemptResult from './attempt-result.js';
import type * as callResult from './call-result.js';
import * as deadlineSignal from './deadline-signal.js';
import type * as outgoing from './outgoing-request.js';

/** Extra time after the deadline to receive the target's own result. */
const RESULT_GRACE_MS = 100;

export interface CallRouterOptions {
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
  readonly peers: transport.PeerConnector;
  readonly targets: outgoing.LoadBalancer;
  readonly thresholds: admission.ThresholdTable;
  /** Called if a target refuses a call because its host is leaving. */
  readonly onTargetLeaving: (remote: protocol.Hello) => void;
}

/**
 * Sends the calls of packages/daemon to targets, retries them within the retry
 * budget of the request and returns the response as a stream. Retries a
 * non-idempotent call only if the earlier attempt is known never to run. The
 * counterpart in packages/host-daemon, `RequestForwarder`, returns whole
 * responses.
 */
export class CallRouter {
  constructor(private readonly options: CallRouterOptions) {}

  async send(
    request: outgoing.OutgoingRequest,
  ): Promise<callResult.CallResult> {
    const {clock} = this.options;
    const excluded = new Set<string>();
    request.retryRatio.noteFirstAttempt(clock.monotonicMs());
    let unknownOutcome: callResult.CallResult | null = null;
    let lastResult: callResult.CallResult | null = null;
    for (let attempt = 1; ; attempt++) {
      const host = this.chooseHost(request, excluded);
      // Without another target, the failure of the last attempt is the result.
      if (typeof host === 'string') {
        if (lastResult) request.budget.returnUnspent(1);
        return lastResult ?? attemptResult.finalRefusal(host);
      }
      const outcome = await this.sendAttempt(request, attempt, host);
      if (outcome.kind === 'mayHaveRun') unknownOutcome = outcome.result;
      // If an earlier attempt may have run, a later refusal must not be
      // reported as "not run".
      const refused = outcome.result.kind === 'refused';
      lastResult = refused && unknownOutcome ? unknownOutcome : outcome.result;
      if (outcome.kind === 'final' || !this.mayRetry(request, outcome)) {
        return lastResult;
      }
      this.options.metrics.count(
        'retries_total',
        'Attempts after the first, by the reason of the failure before.',
        {reason: outcome.result.reason},
      );
    }
  }

  /** Returns the host of the next attempt, or the reason why there is none. */
  private chooseHost(
    request: outgoing.OutgoingRequest,
    excluded: Set<string>,
  ): declaration.HostEntry | protocol.RefusalReasonName {
    const choice = this.options.targets.choose(
      request.service,
      request.context,
      this.options.clock.monotonicMs(),
      excluded,
    );
    if (choice.kind === 'none') return choice.reason;
    excluded.add(choice.host.hostId);
    return choice.host;
  }

  private mayRetry(
    request: outgoing.OutgoingRequest,
    outcome: Exclude<attemptResult.AttemptResult, {kind: 'final'}>,
  ): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (request.signal.aborted || nowMs >= request.deadlineMs) return false;
    if (outcome.kind === 'mayHaveRun' && !request.context.idempotent) {
      return false;
    }
    if (request.body && !request.body.replayable) return false;
    if (!request.budget.trySpend()) {
      this.countDeniedRetry('budget');
      return false;
    }
    if (request.retryRatio.tryRetry(nowMs)) return true;
    this.countDeniedRetry('ratio');
    return false;
  }

  private countDeniedRetry(cause: 'budget' | 'ratio'): void {
    this.options.metrics.count(
      'retries_denied_total',
      'Retries not made because the budget or the ratio was spent.',
      {cause},
    );
  }

  private async sendAttempt(
    request: outgoing.OutgoingRequest,
    attempt: number,
    host: declaration.HostEntry,
  ): Promise<attemptResult.AttemptResult> {
    const {clock, targets, peers} = this.options;
    targets.noteStart(host.hostId, clock.monotonicMs());
    let link: transport.PeerLink;
    try {
      link = await peers.connect(host.address, host.peerPort);
    } catch {
      targets.noteEnd(host.hostId, 'failed', 0, clock.monotonicMs());
      return attemptResult.notRun('targetUnavailable');
    }
    return this.sendToPeer(request, attempt, host, link);
  }

  private async sendToPeer(
    request: outgoing.OutgoingRequest,
    attempt: number,
    host: declaration.HostEntry,
    link: transport.PeerLink,
  ): Promise<attemptResult.AttemptResult> {
    const {clock} = this.options;
    const sentMs = clock.monotonicMs();
    const remainingMs = request.deadlineMs - sentMs;
    if (remainingMs <= 0) {
      this.options.targets.noteEnd(host.hostId, 'cancelled', 0, sentMs);
      return attemptResult.final(attemptResult.finalRefusal('deadlineExpired'));
    }
    const retryShare = request.budget.lendShare();
    const timeout = new deadlineSignal.DeadlineSignal(
      clock,
      request.signal,
      remainingMs + RESULT_GRACE_MS,
    );
    const result = await link.call(
      {
        attempt,
        service: request.service,
        method: request.method,
        path: request.path,
        headers: request.headers,
        contentLength: request.contentLength,
        hasBody: request.body !== null,
        context: {...request.context, remainingMs, retries: retryShare},
      },
      request.body ? request.body.stream() : null,
      {
        permissionMs: Math.min(remainingMs, protocol.PERMISSION_LIFETIME_MS),
        signal: timeout.signal,
      },
    );
    return this.classify(request, attempt, host, link, sentMs, timeout, result);
  }

  private async classify(
    request: outgoing.OutgoingRequest,
    attempt: number,
    host: declaration.HostEntry,
    link: transport.PeerLink,
    sentMs: number,
    timeout: deadlineSignal.DeadlineSignal,
    result: transport.PeerResult,
  ): Promise<attemptResult.AttemptResult> {
    const {clock, targets, thresholds} = this.options;
    const recordEnd = (
      verdict: coordination.TargetResult,
      trailer: transport.ResponseTrailer | null,
    ) => {
      const nowMs = clock.monotonicMs();
      timeout.dispose();
      targets.noteEnd(host.hostId, verdict, nowMs - sentMs, nowMs);
      if (!trailer) return;
      request.budget.returnUnspent(trailer.unspentRetries);
      thresholds.update(host.hostId, trailer.threshold, nowMs);
    };
    switch (result.kind) {
      case 'answer': {
        const finished = result.trailer.then(
          trailer => {
            recordEnd('succeeded', trailer);
            return true;
          },
          () => {
            recordEnd('failed', null);
            return false;
          },
        );
        const {status, headers, contentLength, body} = result;
        return attemptResult.final({
          kind: 'answer',
          status,
          headers,
          contentLength,
          body,
          finished,
        });
      }
      case 'whole': {
        recordEnd('succeeded', result);
        const {status, headers, body} = result;
        return attemptResult.final({
          kind: 'answer',
          status,
          headers,
          contentLength: body.length,
          body: attemptResult.singleChunkBody(body),
          finished: Promise.resolve(true),
        });
      }
      case 'refused':
        recordEnd(
          result.reason === 'overloaded' ? 'overloaded' : 'cancelled',
          result,
        );
        if (result.reason === 'targetLeaving') {
          this.options.onTargetLeaving(link.remote);
        }
        if (result.final || !attemptResult.isRetryable(result.reason)) {
          return attemptResult.final({
            kind: 'refused',
            reason: result.reason,
            final: result.final,
          });
        }
        return attemptResult.notRun(result.reason);
      case 'unknown':
        recordEnd('failed', result);
        return attemptResult.mayHaveRun(result.reason);
      case 'lost': {
        const expired = timeout.expired;
        recordEnd(request.signal.aborted ? 'cancelled' : 'failed', null);
        if (!result.sent) return attemptResult.notRun('targetUnavailable');
        if (request.context.idempotent) {
          return attemptResult.mayHaveRun(
            expired ? 'deadlineDuringRun' : 'answerLost',
          );
        }
        const neverStarts = await this.confirmNeverStarts(
          {
            requestId: request.context.requestId,
            attempt,
            incarnation: link.remote.incarnation,
            sentAfterMs: result.sentAfterMs,
          },
          host,
        );
        if (neverStarts) return attemptResult.notRun('targetUnavailable');
        return attemptResult.mayHaveRun(
          expired ? 'deadlineDuringRun' : 'answerLost',
        );
      }
    }
  }

  /**
   * Cancels the attempt at the target's daemon over a new connection. Returns
   * true if the incarnation that received the call confirms that the attempt
   * never starts; replies of other incarnations prove nothing.
   */
  private async confirmNeverStarts(
    call: transport.LostCall,
    host: declaration.HostEntry,
  ): Promise<boolean> {
    const {metrics, peers} = this.options;
    let link: transport.PeerLink | null = null;
    const isConfirmed = await transport.confirmNeverStarts(
      async () =>
        (link = await peers.connectUnshared(host.address, host.peerPort)),
      call,
      metrics,
    );
    (link as transport.PeerLink | null)?.close('query finished');
    return isConfirmed;
  }
}
