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
const WAITING_LIMIT = 256;

/**
 * Pause before the owner is looked for again. It doubles while nobody acts as
 * owner, as a change of owner takes seconds.
 */
const OWNER_RETRY_BASE_MS = 10;
const OWNER_RETRY_MAXIMUM_MS = 160;

/**
 * Shortest time between two requests after an answer that gave less than was
 * asked for. With the 10 ms that a grant holder keeps anyway, an organisation
 * at 20 times its rate cost 84 requests per second.
 */
const SCARCE_RETRY_MS = 20;

/**
 * Longest pause after empty answers in a row; the owner's own retry time does
 * not know how many daemons ask. It is below the 2 s of recovery.
 */
const SCARCE_RETRY_MAXIMUM_MS = 640;

/**
 * When spent tokens are reported after an answer; the grant holder sends
 * nothing in the first 10 ms. An unreported token keeps its place in the
 * burst for 2 s: with 14 entry daemons an organisation at 8 of its 10 calls/s
 * had 24% of its calls refused.
 */
const REPORT_DELAY_MS = 12;

export type SpendResult = 'granted' | 'limitExceeded' | 'limitUnavailable';

interface WaitingCall {
  readonly endMs: number;
  readonly resolve: (result: SpendResult) => void;
}

export interface OrganisationLimitOptions {
  readonly grants: ownership.GrantHolder;
  readonly ask: (
    body: protocol.GrantRequest,
    timeoutMs: number,
  ) => Promise<ownerClient.OwnerReply>;
  readonly clock: runtime.Clock;
}

/** The tokens of one organisation at this entry daemon. */
export class OrganisationLimit {
  lastUsedMs = -Infinity;
  private waiting: WaitingCall[] = [];
  private running = false;
  /** Until when the owner has no tokens; calls are refused without asking. */
  private emptyUntilMs = -Infinity;
  /** No request is sent before this instant. */
  private askAgainMs = -Infinity;
  /** Pause after the last empty answer. */
  private scarceMs = 0;
  /** Whether the last request reached an owner. */
  private ownerAnswered = true;
  private lastAnswerMs = -Infinity;
  /** Since when the present request waits for an owner. */
  private pendingSinceMs: number | null = null;

  constructor(private readonly options: OrganisationLimitOptions) {}

  /** Whether nothing would be lost by forgetting this organisation. */
  isIdle(nowMs: number, idleMs: number): boolean {
    return !this.running && nowMs - this.lastUsedMs > idleMs;
  }

  /**
   * Spends a token that is held, unless earlier calls wait for one; asks for
   * more before they run out.
   */
  trySpend(nowMs: number): boolean {
    this.lastUsedMs = nowMs;
    // Unmet demand is not known here yet, so a request sent now would ask for
    // too little; `spend` follows and asks for the right amount.
    if (this.waiting.length > 0 || !this.options.grants.trySpend(nowMs)) {
      return false;
    }
    this.refill(nowMs);
    return true;
  }

  spend(nowMs: number, signal: AbortSignal): Promise<SpendResult> {
    this.lastUsedMs = nowMs;
    if (this.waiting.length === 0 && this.options.grants.trySpend(nowMs)) {
      this.refill(nowMs);
      return Promise.resolve('granted');
    }
    const endMs = nowMs + TOKEN_WAIT_MS;
    if (this.emptyUntilMs >= endMs) return Promise.resolve(this.refusal(nowMs));
    if (this.waiting.length >= WAITING_LIMIT) {
      return Promise.resolve(this.refusal(nowMs));
    }
    this.options.grants.noteUnmet(nowMs);
    return new Promise(resolve => {
      const abandon = () => {
        this.waiting = this.waiting.filter(other => other !== call);
        call.resolve('limitUnavailable');
      };
      const call: WaitingCall = {
        endMs,
        resolve: result => {
          signal.removeEventListener('abort', abandon);
          resolve(result);
        },
      };
      this.waiting.push(call);
      signal.addEventListener('abort', abandon, {once: true});
      this.refill(nowMs);
    });
  }

  /** What to give back on a planned stop; null when nothing is held. */
  takeReturn(nowMs: number): protocol.GrantReturn | null {
    return this.options.grants.takeReturn(nowMs);
  }

  private refusal(nowMs: number): SpendResult {
    const isOverdue =
      this.pendingSinceMs !== null &&
      nowMs - this.pendingSinceMs >= TOKEN_WAIT_MS;
    return this.ownerAnswered && !isOverdue
      ? 'limitExceeded'
      : 'limitUnavailable';
  }

  /** Starts the request task when there is something to ask for. */
  private refill(nowMs: number): void {
    if (this.running) return;
    const request = this.nextRequest(nowMs);
    const mayReport = nowMs - this.lastAnswerMs < REPORT_DELAY_MS;
    if (!request && this.waiting.length === 0 && !mayReport) return;
    this.running = true;
    const ended = new AbortController();
    void Promise.all([
      this.run(request).finally(() => ended.abort()),
      this.expireLoop(ended.signal),
    ]).finally(() => {
      this.running = false;
    });
  }

  private nextRequest(nowMs: number): protocol.GrantRequest | null {
    if (nowMs < this.askAgainMs) return null;
    return this.options.grants.nextRequest(nowMs);
  }

  /** Asks until no call waits, the grants suffice and spending is reported. */
  private async run(first: protocol.GrantRequest | null): Promise<void> {
    const {clock} = this.options;
    let request = first;
    let reported = false;
    for (;;) {
      if (request) await this.exchange(request);
      const nowMs = clock.monotonicMs();
      this.serveWaiting(nowMs);
      request = this.nextRequest(nowMs);
      if (request) continue;
      if (this.waiting.length > 0) {
        await this.pause(nowMs);
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
  private async pause(nowMs: number): Promise<void> {
    const {clock} = this.options;
    const firstEndMs = this.waiting[0]?.endMs ?? nowMs;
    const retryMs = Math.max(
      nowMs + OWNER_RETRY_BASE_MS,
      this.emptyUntilMs,
      this.askAgainMs,
    );
    await clock.delay(Math.max(1, Math.min(firstEndMs, retryMs) - nowMs));
    this.serveWaiting(clock.monotonicMs());
  }

  private async exchange(request: protocol.GrantRequest): Promise<void> {
    const {clock, grants, ask} = this.options;
    const startMs = clock.monotonicMs();
    const endMs = startMs + GRANT_TIMEOUT_MS;
    this.pendingSinceMs = startMs;
    let retryMs = OWNER_RETRY_BASE_MS;
    for (;;) {
      const sentMs = clock.monotonicMs();
      const result = await ask(request, Math.max(1, endMs - sentMs));
      const nowMs = clock.monotonicMs();
      if (result.kind === 'reply' && result.reply.kind === 'grantAnswer') {
        // The organisation is not over its rate while the bucket is unfilled.
        this.ownerAnswered = !result.reply.unfilled;
        this.pendingSinceMs = null;
        this.lastAnswerMs = nowMs;
        grants.recordAnswer(result.reply, sentMs, nowMs);
        this.noteAnswer(request.tokens, result.reply, nowMs);
        return;
      }
      this.ownerAnswered = false;
      if (result.kind !== 'notOwner' || nowMs + retryMs >= endMs) {
        this.pendingSinceMs = null;
        grants.recordLoss(nowMs);
        return;
      }
      await clock.delay(retryMs);
      retryMs = Math.min(OWNER_RETRY_MAXIMUM_MS, 2 * retryMs);
    }
  }

  /** Slows requests down while the owner has fewer tokens than wanted. */
  private noteAnswer(
    wanted: number,
    answer: protocol.GrantAnswer,
    nowMs: number,
  ): void {
    if (answer.tokens >= wanted) {
      this.scarceMs = 0;
      return;
    }
    this.askAgainMs = nowMs + SCARCE_RETRY_MS;
    if (answer.tokens > 0) {
      this.scarceMs /= 2;
      return;
    }
    this.scarceMs = Math.min(
      SCARCE_RETRY_MAXIMUM_MS,
      Math.max(SCARCE_RETRY_MS, 2 * this.scarceMs),
    );
    this.emptyUntilMs = nowMs + Math.max(this.scarceMs, answer.retryAfterMs);
  }

  /** Ends waiting calls in time, whatever the request task waits for. */
  private async expireLoop(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      const nowMs = clock.monotonicMs();
      this.expire(nowMs);
      const endMs = this.waiting[0]?.endMs ?? nowMs + TOKEN_WAIT_MS;
      await clock.delay(Math.max(1, endMs - nowMs), signal);
    }
  }

  /** Gives tokens to waiting calls in order; ends those out of time. */
  private serveWaiting(nowMs: number): void {
    while (this.waiting.length > 0 && this.options.grants.trySpend(nowMs)) {
      this.waiting.shift()?.resolve('granted');
    }
    this.expire(nowMs);
    if (!this.ownerAnswered) return;
    // Calls that would wait in vain are refused now.
    while (
      this.waiting.length > 0 &&
      this.waiting[0].endMs <= this.emptyUntilMs
    ) {
      this.waiting.shift()?.resolve('limitExceeded');
    }
  }

  private expire(nowMs: number): void {
    while (this.waiting.length > 0 && this.waiting[0].endMs <= nowMs) {
      this.waiting.shift()?.resolve(this.refusal(nowMs));
    }
  }
}
