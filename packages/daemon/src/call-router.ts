import type * as admission from '@camphorwharf/admission';
import type * as coordination from '@camphorwharf/coordination';
import type * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import * as attemptResult from './attempt-result.js';
import type * as callResult from './call-result.js';
import * as deadlineSignal from './deadline-signal.js';
import type * as outgoing from './outgoing-request.js';

/** Longest time for which a target may start a call after it was sent. */
export const PERMISSION_LIFETIME_MS = 2_000;

/** Extra wait for the target's own verdict on an expired call. */
const VERDICT_GRACE_MS = 100;

/** Time limit for asking a target never to start a call. */
const CANCEL_QUERY_TIMEOUT_MS = 1_000;

export interface CallRouterOptions {
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
  readonly peers: transport.PeerDirectory;
  readonly targets: outgoing.TargetChooser;
  readonly thresholds: admission.ThresholdTable;
  /** A target refused because it is leaving; it gets no further calls. */
  readonly onLeaving: (remote: protocol.Hello) => void;
}

/**
 * Sends calls to targets. Retries within the request's budget, and sends a
 * non-idempotent call again only on proof that the earlier attempt never runs.
 */
export class CallRouter {
  constructor(private readonly options: CallRouterOptions) {}

  async send(
    request: outgoing.OutgoingRequest,
  ): Promise<callResult.CallResult> {
    const {clock} = this.options;
    const excluded = new Set<string>();
    request.retryRatio.noteFirstAttempt(clock.monotonicMs());
    let doubt: callResult.CallResult | null = null;
    let last: callResult.CallResult | null = null;
    for (let attempt = 1; ; attempt++) {
      const host = this.chooseHost(request, excluded);
      // Without a further target, the failure of the last one is the answer.
      if (typeof host === 'string') {
        if (last) request.budget.giveBack(1);
        return last ?? attemptResult.refusedFinally(host);
      }
      const outcome = await this.attempt(request, attempt, host);
      if (outcome.kind === 'mayHaveRun') doubt = outcome.result;
      // A refusal of the last attempt says nothing of an earlier one that
      // may have run, so "not run" would be false.
      const refused = outcome.result.kind === 'refused';
      last = refused && doubt ? doubt : outcome.result;
      if (outcome.kind === 'final' || !this.mayRetry(request, outcome)) {
        return last;
      }
      this.options.metrics.count(
        'retries_total',
        'Attempts after the first, by the reason of the failure before.',
        {reason: outcome.result.reason},
      );
    }
  }

  /** Returns the reason when there is no target. */
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
    if (!request.budget.takeOne()) {
      this.countDenied('budget');
      return false;
    }
    if (request.retryRatio.tryRetry(nowMs)) return true;
    this.countDenied('ratio');
    return false;
  }

  private countDenied(cause: 'budget' | 'ratio'): void {
    this.options.metrics.count(
      'retries_denied_total',
      'Retries not made because the budget or the ratio was spent.',
      {cause},
    );
  }

  private async attempt(
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
    return this.exchange(request, attempt, host, link);
  }

  private async exchange(
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
      return attemptResult.final(
        attemptResult.refusedFinally('deadlineExpired'),
      );
    }
    const share = request.budget.takeShare();
    const limit = new deadlineSignal.DeadlineSignal(
      clock,
      request.signal,
      remainingMs + VERDICT_GRACE_MS,
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
        context: {...request.context, remainingMs, retries: share},
      },
      request.body ? request.body.open() : null,
      {
        permissionMs: Math.min(remainingMs, PERMISSION_LIFETIME_MS),
        signal: limit.signal,
      },
    );
    return this.conclude(request, attempt, host, link, sentMs, limit, result);
  }

  private async conclude(
    request: outgoing.OutgoingRequest,
    attempt: number,
    host: declaration.HostEntry,
    link: transport.PeerLink,
    sentMs: number,
    limit: deadlineSignal.DeadlineSignal,
    result: transport.PeerResult,
  ): Promise<attemptResult.AttemptResult> {
    const {clock, targets, thresholds} = this.options;
    const settle = (
      verdict: coordination.TargetResult,
      trailer: transport.AnswerTrailer | null,
    ) => {
      const nowMs = clock.monotonicMs();
      limit.release();
      targets.noteEnd(host.hostId, verdict, nowMs - sentMs, nowMs);
      if (!trailer) return;
      request.budget.giveBack(trailer.unspentRetries);
      thresholds.learn(host.hostId, trailer.threshold, nowMs);
    };
    switch (result.kind) {
      case 'answer': {
        const finished = result.trailer.then(
          trailer => {
            settle('succeeded', trailer);
            return true;
          },
          () => {
            settle('failed', null);
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
        settle('succeeded', result);
        const {status, headers, body} = result;
        return attemptResult.final({
          kind: 'answer',
          status,
          headers,
          contentLength: body.length,
          body: attemptResult.oneChunk(body),
          finished: Promise.resolve(true),
        });
      }
      case 'refused':
        settle(
          result.reason === 'overloaded' ? 'overloaded' : 'cancelled',
          result,
        );
        if (result.reason === 'targetLeaving') {
          this.options.onLeaving(link.remote);
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
        settle('failed', result);
        return attemptResult.mayHaveRun(result.reason);
      case 'lost': {
        const expired = limit.expired;
        settle(request.signal.aborted ? 'cancelled' : 'failed', null);
        if (!result.sent) return attemptResult.notRun('targetUnavailable');
        if (request.context.idempotent) {
          return attemptResult.mayHaveRun(
            expired ? 'deadlineDuringRun' : 'answerLost',
          );
        }
        const neverRuns = await this.proveNeverStarts(
          request.context.requestId,
          attempt,
          host,
          link.remote.incarnation,
        );
        if (neverRuns) return attemptResult.notRun('targetUnavailable');
        return attemptResult.mayHaveRun(
          expired ? 'deadlineDuringRun' : 'answerLost',
        );
      }
    }
  }

  /**
   * Asks the target's daemon, over a fresh connection, never to start the
   * attempt. Only the answer of the incarnation that the call was sent to
   * is proof.
   */
  private async proveNeverStarts(
    requestId: string,
    attempt: number,
    host: declaration.HostEntry,
    incarnation: string,
  ): Promise<boolean> {
    let verdict = 'unreachable';
    try {
      const fresh = await this.options.peers.connectFresh(
        host.address,
        host.peerPort,
      );
      try {
        const reply = await fresh.request(
          {kind: 'cancelIfNotStarted', requestId, attempt, incarnation},
          CANCEL_QUERY_TIMEOUT_MS,
        );
        if (reply.kind === 'cancelAnswer') verdict = reply.verdict;
      } finally {
        fresh.close('query finished');
      }
    } catch {
      verdict = 'unreachable';
    }
    this.options.metrics.count(
      'cancel_queries_total',
      'Queries that ask a target never to start a call, by verdict.',
      {verdict},
    );
    return verdict === 'neverStarts';
  }
}
