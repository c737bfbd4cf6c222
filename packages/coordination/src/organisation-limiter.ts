import type * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as ownerClient from './owner-client.js';

/**
 * How long a call waits for a token. With 50 ms, entry daemons on hosts short
 * of CPU time refused calls within the rate; unmet demand is forgotten after
 * 150 ms, so a longer wait would find no token.
 */
export const TOKEN_WAIT_MS = 150;

/** How long a grant request may take. */
export const GRANT_TIMEOUT_MS = 250;

/** Calls of one organisation that wait at one entry daemon. */
const MAXIMUM_WAITING_CALLS = 256;

/**
 * Pause before the owner is looked for again. It doubles while nobody acts as
 * owner, as a change of owner takes seconds.
 */
const OWNER_RETRY_MINIMUM_MS = 10;
const OWNER_RETRY_MAXIMUM_MS = 160;

/**
 * Shortest time between two requests after an answer that gave less than was
 * asked for. With the 10 ms that a grant holder keeps anyway, an organisation
 * at 20 times its rate cost 84 requests per second.
 */
const SHORTAGE_RETRY_MINIMUM_MS = 20;

/**
 * Longest pause after empty answers in a row; the owner's own retry time does
 * not know how many daemons ask. It is below the 2 s of recovery.
 */
const SHORTAGE_RETRY_MAXIMUM_MS = 640;

/**
 * When spent tokens are reported after an answer; the grant holder sends
 * nothing in the first 10 ms. An unreported token keeps its place in the
 * burst for 2 s: with 14 entry daemons an organisation at 8 of its 10 calls/s
 * had 24% of its calls refused.
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

/** The tokens of one organisation at this entry daemon. */
export class OrganisationLimiter {
  lastUsedMs = -Infinity;
  private waitingCalls: WaitingCall[] = [];
  private requestLoopRunning = false;
  /** Until when the owner has no tokens; calls are refused without asking. */
  private emptyUntilMs = -Infinity;
  /** No request is sent before this instant. */
  private nextRequestAtMs = -Infinity;
  /** Pause after the last empty answer. */
  private shortageBackOffMs = 0;
  /** Whether the last request reached an owner. */
  private ownerAnswered = true;
  private lastAnswerMs = -Infinity;
  /** Since when the present request waits for an owner. */
  private requestPendingSinceMs: number | null = null;

  constructor(private readonly options: OrganisationLimiterOptions) {}

  /** Whether nothing would be lost by forgetting this organisation. */
  isIdle(nowMs: number, idleMs: number): boolean {
    return !this.requestLoopRunning && nowMs - this.lastUsedMs > idleMs;
  }

  /**
   * Spends a token that is held, unless earlier calls wait for one; asks for
   * more before they run out.
   */
  trySpend(nowMs: number): boolean {
    this.lastUsedMs = nowMs;
    // Unmet demand is not known here yet, so a request sent now would ask for
    // too little; `spend` follows and asks for the right amount.
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
    this.options.grants.noteUnmet(nowMs);
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

  /** What to give back on a planned stop; null when nothing is held. */
  takeReturn(nowMs: number): protocol.GrantReturn | null {
    return this.options.grants.takeReturn(nowMs);
  }

  private refusal(nowMs: number): SpendResult {
    const isOverdue =
      this.requestPendingSinceMs !== null &&
      nowMs - this.requestPendingSinceMs >= TOKEN_WAIT_MS;
    return this.ownerAnswered && !isOverdue
      ? 'limitExceeded'
      : 'limitUnavailable';
  }

  /** Starts the request task when there is something to ask for. */
  private startRequestLoop(nowMs: number): void {
    if (this.requestLoopRunning) return;
    const request = this.nextRequest(nowMs);
    const isReportDue = nowMs - this.lastAnswerMs < REPORT_DELAY_MS;
    if (!request && this.waitingCalls.length === 0 && !isReportDue) return;
    this.requestLoopRunning = true;
    const loopEnded = new AbortController();
    void Promise.all([
      this.runRequestLoop(request).finally(() => loopEnded.abort()),
      this.runExpiryLoop(loopEnded.signal),
    ]).finally(() => {
      this.requestLoopRunning = false;
    });
  }

  private nextRequest(nowMs: number): protocol.GrantRequest | null {
    if (nowMs < this.nextRequestAtMs) return null;
    return this.options.grants.nextRequest(nowMs);
  }

  /** Asks until no call waits, the grants suffice and spending is reported. */
  private async runRequestLoop(
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

  /** Waits until asking again can help or the first waiting call ends. */
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
        // The organisation is not over its rate while the bucket is unfilled.
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
        grants.recordLoss(nowMs);
        return;
      }
      await clock.delay(retryMs);
      retryMs = Math.min(OWNER_RETRY_MAXIMUM_MS, 2 * retryMs);
    }
  }

  /** Slows requests down while the owner has fewer tokens than wanted. */
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

  /** Ends waiting calls in time, whatever the request task waits for. */
  private async runExpiryLoop(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      const nowMs = clock.monotonicMs();
      this.expireWaitingCalls(nowMs);
      const deadlineMs =
        this.waitingCalls[0]?.deadlineMs ?? nowMs + TOKEN_WAIT_MS;
      await clock.delay(Math.max(1, deadlineMs - nowMs), signal);
    }
  }

  /** Gives tokens to waiting calls in order; ends those out of time. */
  private serveWaitingCalls(nowMs: number): void {
    while (
      this.waitingCalls.length > 0 &&
      this.options.grants.trySpend(nowMs)
    ) {
      this.waitingCalls.shift()?.resolve('granted');
    }
    this.expireWaitingCalls(nowMs);
    if (!this.ownerAnswered) return;
    // Calls that would wait in vain are refused now.
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
