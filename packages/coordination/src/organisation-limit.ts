import type * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as ownerClient from './owner-client.js';

/** How long a call waits for a token. */
export const TOKEN_WAIT_MS = 50;

/** How long a grant request may take. */
export const GRANT_TIMEOUT_MS = 250;

/** Calls of one organisation that wait at one entry daemon. */
const WAITING_LIMIT = 256;

/** Pause before the owner is looked for again. */
const OWNER_RETRY_MS = 10;

/** Pause without calls that wait: ownership changes take seconds. */
const IDLE_RETRY_MS = 250;

/** Shortest time between two requests after an empty answer. */
const EMPTY_RETRY_MS = 20;

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
  /** Whether the last request reached an owner. */
  private ownerAnswered = true;

  constructor(private readonly options: OrganisationLimitOptions) {}

  /** Whether nothing would be lost by forgetting this organisation. */
  isIdle(nowMs: number, idleMs: number): boolean {
    return !this.running && nowMs - this.lastUsedMs > idleMs;
  }

  /** Spends a token that is held; asks for more before they run out. */
  trySpend(nowMs: number): boolean {
    this.lastUsedMs = nowMs;
    const spent = this.options.grants.trySpend(nowMs);
    this.refill(nowMs);
    return spent;
  }

  spend(nowMs: number, signal: AbortSignal): Promise<SpendResult> {
    this.lastUsedMs = nowMs;
    if (this.waiting.length === 0 && this.options.grants.trySpend(nowMs)) {
      this.refill(nowMs);
      return Promise.resolve('granted');
    }
    const endMs = nowMs + TOKEN_WAIT_MS;
    if (this.emptyUntilMs >= endMs) return Promise.resolve('limitExceeded');
    if (this.waiting.length >= WAITING_LIMIT) {
      return Promise.resolve(this.refusal());
    }
    this.options.grants.noteUnmet(nowMs);
    return new Promise(resolve => {
      const call: WaitingCall = {endMs, resolve};
      this.waiting.push(call);
      signal.addEventListener('abort', () => this.abandon(call), {once: true});
      this.refill(nowMs);
    });
  }

  /** What to give back on a planned stop; null when nothing is held. */
  takeReturn(nowMs: number): protocol.GrantReturn | null {
    return this.options.grants.takeReturn(nowMs);
  }

  private abandon(call: WaitingCall): void {
    if (!this.waiting.includes(call)) return;
    this.waiting = this.waiting.filter(other => other !== call);
    call.resolve('limitUnavailable');
  }

  private refusal(): SpendResult {
    return this.ownerAnswered ? 'limitExceeded' : 'limitUnavailable';
  }

  /** Starts the request task when there is something to ask for. */
  private refill(nowMs: number): void {
    if (this.running) return;
    const request = this.options.grants.nextRequest(nowMs);
    if (!request && this.waiting.length === 0) return;
    this.running = true;
    void this.run(request).finally(() => {
      this.running = false;
    });
  }

  /** Asks until no call waits and the grants suffice. */
  private async run(first: protocol.GrantRequest | null): Promise<void> {
    const {clock, grants} = this.options;
    let request = first;
    for (;;) {
      if (request) await this.exchange(request);
      const nowMs = clock.monotonicMs();
      this.serveWaiting(nowMs);
      request = grants.nextRequest(nowMs);
      if (request) continue;
      if (this.waiting.length === 0) return;
      await this.pause(nowMs);
    }
  }

  /** Waits until asking again can help or a waiting call has to end. */
  private async pause(nowMs: number): Promise<void> {
    const {clock} = this.options;
    const firstEndMs = this.waiting[0]?.endMs ?? nowMs;
    const retryMs = Math.max(nowMs + OWNER_RETRY_MS, this.emptyUntilMs);
    await clock.delay(Math.max(1, Math.min(firstEndMs, retryMs) - nowMs));
    this.serveWaiting(clock.monotonicMs());
  }

  private async exchange(request: protocol.GrantRequest): Promise<void> {
    const {clock, grants, ask} = this.options;
    const endMs = clock.monotonicMs() + GRANT_TIMEOUT_MS;
    for (;;) {
      const sentMs = clock.monotonicMs();
      const answered = new AbortController();
      void this.expireWhile(answered.signal);
      const result = await ask(request, Math.max(1, endMs - sentMs));
      answered.abort();
      const nowMs = clock.monotonicMs();
      if (result.kind === 'reply' && result.reply.kind === 'grantAnswer') {
        this.ownerAnswered = true;
        // The grant counts from the first send, which is the earlier one.
        grants.recordAnswer(result.reply, sentMs, nowMs);
        if (result.reply.tokens === 0) {
          this.emptyUntilMs =
            nowMs + Math.max(EMPTY_RETRY_MS, result.reply.retryAfterMs);
        }
        return;
      }
      this.ownerAnswered = false;
      if (result.kind !== 'notOwner' || nowMs >= endMs) {
        grants.recordLoss(nowMs);
        return;
      }
      this.serveWaiting(nowMs);
      const pauseMs = this.waiting.length > 0 ? OWNER_RETRY_MS : IDLE_RETRY_MS;
      await clock.delay(pauseMs);
    }
  }

  /** Ends waiting calls in time while a request is in flight. */
  private async expireWhile(signal: AbortSignal): Promise<void> {
    const {clock} = this.options;
    while (!signal.aborted) {
      const nowMs = clock.monotonicMs();
      this.expire(nowMs, 'limitUnavailable');
      const endMs = this.waiting[0]?.endMs ?? nowMs + TOKEN_WAIT_MS;
      await clock.delay(Math.max(1, endMs - nowMs), signal);
    }
  }

  /** Gives tokens to waiting calls in order; ends those out of time. */
  private serveWaiting(nowMs: number): void {
    while (this.waiting.length > 0 && this.options.grants.trySpend(nowMs)) {
      this.waiting.shift()?.resolve('granted');
    }
    this.expire(nowMs, this.refusal());
    if (!this.ownerAnswered) return;
    // Calls that would wait in vain are refused now.
    while (
      this.waiting.length > 0 &&
      this.waiting[0].endMs <= this.emptyUntilMs
    ) {
      this.waiting.shift()?.resolve('limitExceeded');
    }
  }

  private expire(nowMs: number, result: SpendResult): void {
    while (this.waiting.length > 0 && this.waiting[0].endMs <= nowMs) {
      this.waiting.shift()?.resolve(result);
    }
  }
}
