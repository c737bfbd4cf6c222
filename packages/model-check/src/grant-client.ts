import * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as daemons from './daemon.js';
import type * as messages from './messages.js';
import * as settings from './settings.js';

/** Whether tokens are spent when received or just before they expire. */
export type SpendingMode = 'atOnce' | 'late';

interface PendingGrantRequest {
  readonly holder: protocol.MemberIdentity;
  readonly sequence: number;
  readonly sentMs: number;
}

/** Requests and spends the prepaid grant of one daemon. */
export class GrantClient {
  /** Whether calls of the organisation arrive at this daemon. */
  hasDemand = true;
  private pendingRequest: PendingGrantRequest | null = null;
  /** Instant at which held tokens are spent in the mode `late`. */
  private deferredSpendMs = Infinity;

  constructor(
    readonly grant: ownership.GrantHolder,
    private readonly spendingMode: SpendingMode,
  ) {}

  /** Spends tokens and requests more from the owner of the bucket. */
  act(
    localMs: number,
    owner: string | null,
    environment: daemons.DaemonEnvironment,
  ): void {
    this.spend(localMs, environment.observer);
    this.request(localMs, owner, environment.send);
  }

  private spend(localMs: number, observer: daemons.Observer): void {
    if (this.spendingMode === 'late' && localMs < this.deferredSpendMs) {
      if (this.grant.heldTokens > 0) return;
    }
    let tokens = 0;
    while (this.grant.trySpend(localMs)) tokens++;
    if (tokens > 0) observer.onTokensSpent(tokens);
    this.deferredSpendMs = Infinity;
    if (!this.hasDemand) return;
    for (let call = 0; call < settings.LIMITS.burst; call++) {
      this.grant.recordUnmetDemand(localMs);
    }
  }

  private request(
    localMs: number,
    owner: string | null,
    send: messages.Send,
  ): void {
    if (
      this.pendingRequest !== null &&
      localMs - this.pendingRequest.sentMs >= settings.REQUEST_TIMEOUT_MS
    ) {
      this.pendingRequest = null;
      this.grant.recordLostRequest(localMs);
    }
    if (!owner) return;
    const request = this.grant.nextRequest(localMs);
    if (!request) return;
    this.pendingRequest = {
      holder: request.holder,
      sequence: request.sequence,
      sentMs: localMs,
    };
    send(owner, {kind: 'grant', request});
  }

  receiveGrantAnswer(
    body: Extract<messages.Body, {kind: 'grantAnswer'}>,
    localMs: number,
    lifetimeMs: number,
  ): void {
    if (body.sequence !== this.pendingRequest?.sequence) return;
    const {sentMs} = this.pendingRequest;
    this.pendingRequest = null;
    if (!body.answer) {
      this.grant.recordLostRequest(localMs);
      return;
    }
    this.grant.recordAnswer(body.answer, sentMs, localMs);
    if (body.answer.tokens === 0) return;
    const deadlineMs = sentMs + lifetimeMs - settings.STEP_MS;
    this.deferredSpendMs = Math.min(this.deferredSpendMs, deadlineMs);
  }
}
