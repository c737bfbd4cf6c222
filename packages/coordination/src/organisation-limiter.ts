import type * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as ownerClient from './owner-client.js';

/**
 * How long a call waits for a token. With 50 ms, entry daemons on hosts short
 * of CPU time refused calls within the rate. Unmet demand expires after 150 ms,
 * so no token would be requested for a longer wait.
 */
export const TOKEN_WAIT_MS = 150;

/** Timeout of a grant request, including the search for the owner. */
export const GRANT_TIMEOUT_MS = 250;

/** Maximum number of waiting calls of one organisation at one entry daemon. */
const MAXIMUM_WAITING_CALLS = 256;

/** Delay between owner searches; it doubles, as owner changes take seconds. */
const OWNER_RETRY_MINIMUM_MS = 10;
const OWNER_RETRY_MAXIMUM_MS = 160;

/**
 * Minimum interval of requests after a grant of fewer tokens than requested.
 * With only the 10 ms spacing of the grant holder, an organisation at 20 times
 * its rate cost 84 requests per second.
 */
const SHORTAGE_RETRY_MINIMUM_MS = 20;

/**
 * Maximum back-off after consecutive empty grants, below the recovery time of
 * 2 s. The owner's retry time does not account for the number of daemons.
 */
const SHORTAGE_RETRY_MAXIMUM_MS = 640;

/**
 * Delay between an answer and the report of spent tokens. The grant holder
 * sends no request within 10 ms of the last one. Without a report, a spent
 * token reduces the available burst for 2 s: with 14 entry daemons, 24% of the
 * calls were refused at 8 calls/s of a rate of 10.
 */
const REPORT_DELAY_MS = 12;

export type SpendResult = 'granted' | 'limitExceeded' | 'limitUnavailable';

interface WaitingCall {
  readonly deadlineMs: number;
  readonly resolve: (result: SpendResult) => void;
}

export interface OrganisationLimiterOptions {
  readonly grants: ownership.GrantHolder;
  readonly sendToOwner: (
    body: protocol.GrantRequest,
    timeoutMs: number,
  ) => Promise<ownerClient.OwnerReply>;
  readonly clock: runtime.Clock;
}

/** Client-side rate limiter of one organisation, using prepaid tokens. */
export class OrganisationLimiter {
  lastUsedMs = -Infinity;
  private waitingCalls: WaitingCall[] = [];
  private requestLoopRunning = false;
  /** Time until which the owner has no tokens and calls are refused locally. */
  private emptyUntilMs = -Infinity;
  /** Earliest time of the next grant request. */
  private nextRequestAtMs = -Infinity;
  /** Current back-off after empty grants. */
  private shortageBackOffMs = 0;
  /** Whether the last request reached an owner. */
  private ownerAnswered = true;
  private lastAnswerMs = -Infinity;
  /** Start of the pending grant request; null without one. */
  private requestPendingSinceMs: number | null = null;

  constructor(private readonly options: OrganisationLimiterOptions) {}

  /** Whether this limiter can be evicted without losing state. */
  isIdle(nowMs: number, idleMs: number): boolean {
    return !this.requestLoopRunning && nowMs - this.lastUsedMs > idleMs;
  }

  /**
   * Spends a prepaid token unless earlier calls wait for one, and requests more
   * before the tokens run out.
   */
  trySpend(nowMs: number): boolean {
    this.lastUsedMs = nowMs;
    // No request is sent on failure: this call does not count as unmet demand
    // yet, so the request would be too small. `spend` follows and sends it.
    if (this.waitingCalls.length > 0 || !this.options.grants.trySpend(nowMs)) {
      return false;
    }
    this.startRequestLoop(nowMs);
    return true;
  }

  spend(nowMs: number, signal: AbortSignal): Promise<SpendResult> {
    this.lastUsedMs = nowMs;
    if (this.waitingCalls.length === 0 && this.options.grants.trySpend(nowMs)) {
      this.startRequestLoop(nowMs);
      return Promise.resolve('granted');
    }
    const endMs = nowMs + TOKEN_WAIT_MS;
    if (this.emptyUntilMs >= endMs) return Promise.resolve(this.refusal(nowMs));
    if (this.waitingCalls.length >= MAXIMUM_WAITING_CALLS) {
      return Promise.resolve(this.refusal(nowMs));
    }
    this.options.grants.recordUnmetDemand(nowMs);
    return new Promise(resolve => {
      const abandon = () => {
        this.waitingCalls = this.waitingCalls.filter(other => other !== call);
        call.resolve('limitUnavailable');
      };
      const call: WaitingCall = {
        deadlineMs: endMs,
        resolve: result => {
          signal.removeEventListener('abort', abandon);
          resolve(result);
        },
      };
      this.waitingCalls.push(call);
      signal.addEventListener('abort', abandon, {once: true});
      this.startRequestLoop(nowMs);
    });
  }

  /** Takes the held tokens for a return to the owner; null without any. */
  takeReturn(nowMs: number): protocol.GrantReturn | null {
    return this.options.grants.returnUnspentTokens(nowMs);
  }

  private refusal(nowMs: number): SpendResult {
    const isOverdue =
      this.requestPendingSinceMs !== null &&
      nowMs - this.requestPendingSinceMs >= TOKEN_WAIT_MS;
    return this.ownerAnswered && !isOverdue
      ? 'limitExceeded'
      : 'limitUnavailable';
  }

  /** Starts the request loop when tokens or a report may be needed. */
  private startRequestLoop(nowMs: number): void {
    if (this.requestLoopRunning) return;
    const request = this.nextRequest(nowMs);
    const mayNeedReport = nowMs - this.lastAnswerMs < REPORT_DELAY_MS;
    if (!request && this.waitingCalls.length === 0 && !mayNeedReport) return;
    this.requestLoopRunning = true;
    const loopEnded = new AbortController();
    void Promise.all([
      this.requestLoop(request).finally(() => loopEnded.abort()),
      this.expiryLoop(loopEnded.signal),
    ]).finally(() => {
      this.requestLoopRunning = false;
    });
  }

  private nextRequest(nowMs: number): protocol.GrantRequest | null {
    if (nowMs < this.nextRequestAtMs) return null;
    return this.options.grants.nextRequest(nowMs);
  }

  /** Runs until no call waits, grants suffice and spent tokens are reported. */
  private async requestLoop(
    first: protocol.GrantRequest | null,
  ): Promise<void> {
    const {clock} = this.options;
    let request = first;
    let reported = false;
    for (;;) {
      if (request) await this.requestTokens(request);
      const nowMs = clock.monotonicMs();
      this.serveWaitingCalls(nowMs);
      request = this.nextRequest(nowMs);
      if (request) continue;
      if (this.waitingCalls.length > 0) {
        await this.waitForRetry(nowMs);
        reported = false;
      } else if (reported) {
        return;
      } else {
        reported = true;
        await clock.delay(REPORT_DELAY_MS);
        request = this.nextRequest(clock.monotonicMs());
      }
    }
  }

  /** Waits until a retry can succeed or the first waiting call times out. */
  private async waitForRetry(nowMs: number): Promise<void> {
    const {clock} = this.options;
    const firstDeadlineMs = this.waitingCalls[0]?.deadlineMs ?? nowMs;
    const retryMs = Math.max(
      nowMs + OWNER_RETRY_MINIMUM_MS,
      this.emptyUntilMs,
      this.nextRequestAtMs,
    );
    await clock.delay(Math.max(1, Math.min(firstDeadlineMs, retryMs) - nowMs));
    this.serveWaitingCalls(clock.monotonicMs());
  }

  private async requestTokens(request: protocol.GrantRequest): Promise<void> {
    const {clock, grants, sendToOwner} = this.options;
    const startMs = clock.monotonicMs();
    const deadlineMs = startMs + GRANT_TIMEOUT_MS;
    this.requestPendingSinceMs = startMs;
    let retryMs = OWNER_RETRY_MINIMUM_MS;
    for (;;) {
      const sentMs = clock.monotonicMs();
      const result = await sendToOwner(
        request,
        Math.max(1, deadlineMs - sentMs),
      );
      const nowMs = clock.monotonicMs();
      if (result.kind === 'reply' && result.reply.kind === 'grantAnswer') {
        // An unfilled bucket does not show that the rate is exceeded.
        this.ownerAnswered = !result.reply.unfilled;
        this.requestPendingSinceMs = null;
        this.lastAnswerMs = nowMs;
        grants.recordAnswer(result.reply, sentMs, nowMs);
        this.adjustBackOff(request.tokens, result.reply, nowMs);
        return;
      }
      this.ownerAnswered = false;
      if (result.kind !== 'notOwner' || nowMs + retryMs >= deadlineMs) {
        this.requestPendingSinceMs = null;
        grants.recordLostRequest(nowMs);
        return;
      }
      await clock.delay(retryMs);
      retryMs = Math.min(OWNER_RETRY_MAXIMUM_MS, 2 * retryMs);
    }
  }

  /** Backs off while the owner grants fewer tokens than requested. */
  private adjustBackOff(
    requestedTokens: number,
    answer: protocol.GrantAnswer,
    nowMs: number,
  ): void {
    if (answer.tokens >= requestedTokens) {
      this.shortageBackOffMs = 0;
      return;
    }
    this.nextRequestAtMs = nowMs + SHORTAGE_RETRY_MINIMUM_MS;
    if (answer.tokens > 0) {
      this.shortageBackOffMs /= 2;
      return;
    }
    this.shortageBackOffMs = Math.min(
      SHORTAGE_RETRY_MAXIMUM_MS,
      Math.max(SHORTAGE_RETRY_MINIMUM_MS, 2 * this.shortageBackOffMs),
    );
    this.emptyUntilMs =
      nowMs + Math.max(this.shortageBackOffMs, answer.retryAfterMs);
  }

  /** Expires waiting calls on time while the request loop is blocked. */
  private async expiryLoop(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      const nowMs = clock.monotonicMs();
      this.expireWaitingCalls(nowMs);
      const deadlineMs =
        this.waitingCalls[0]?.deadlineMs ?? nowMs + TOKEN_WAIT_MS;
      await clock.delay(Math.max(1, deadlineMs - nowMs), signal);
    }
  }

  /** Grants tokens to waiting calls in order and expires overdue ones. */
  private serveWaitingCalls(nowMs: number): void {
    while (
      this.waitingCalls.length > 0 &&
      this.options.grants.trySpend(nowMs)
    ) {
      this.waitingCalls.shift()?.resolve('granted');
    }
    this.expireWaitingCalls(nowMs);
    if (!this.ownerAnswered) return;
    // Calls that would time out before the next tokens are refused early.
    while (
      this.waitingCalls.length > 0 &&
      this.waitingCalls[0].deadlineMs <= this.emptyUntilMs
    ) {
      this.waitingCalls.shift()?.resolve('limitExceeded');
    }
  }

  private expireWaitingCalls(nowMs: number): void {
    while (
      this.waitingCalls.length > 0 &&
      this.waitingCalls[0].deadlineMs <= nowMs
    ) {
      this.waitingCalls.shift()?.resolve(this.refusal(nowMs));
    }
  }
}
