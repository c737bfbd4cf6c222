import * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as daemons from './daemon.js';
import type * as messages from './messages.js';
import * as settings from './settings.js';

/** How a daemon spends the tokens that it holds. */
export type Spending = 'atOnce' | 'late';

interface GrantUnderWay {
  readonly holder: protocol.MemberIdentity;
  readonly sequence: number;
  readonly sentMs: number;
}

/** The prepaid grant of one daemon, and the calls that spend it. */
export class GrantClient {
  /** Whether calls of the organisation arrive here. */
  hasDemand = true;
  private grantRequest: GrantUnderWay | null = null;
  /** When tokens spent late have to be spent. */
  private spendAtMs = Infinity;

  constructor(
    readonly grant: ownership.GrantHolder,
    private readonly spending: Spending,
  ) {}

  /** Spends, and asks the owner of the bucket for more. */
  act(
    localMs: number,
    owner: string | null,
    around: daemons.Surroundings,
  ): void {
    this.spend(localMs, around.observer);
    this.request(localMs, owner, around.send);
  }

  private spend(localMs: number, observer: daemons.Observer): void {
    if (this.spending === 'late' && localMs < this.spendAtMs) {
      if (this.grant.held > 0) return;
    }
    let tokens = 0;
    while (this.grant.trySpend(localMs)) tokens++;
    if (tokens > 0) observer.spent(tokens);
    this.spendAtMs = Infinity;
    if (!this.hasDemand) return;
    for (let call = 0; call < settings.LIMITS.burst; call++) {
      this.grant.noteUnmet(localMs);
    }
  }

  private request(
    localMs: number,
    owner: string | null,
    send: messages.Send,
  ): void {
    if (
      this.grantRequest !== null &&
      localMs - this.grantRequest.sentMs >= settings.REQUEST_TIMEOUT_MS
    ) {
      this.grantRequest = null;
      this.grant.recordLoss(localMs);
    }
    if (!owner) return;
    const request = this.grant.nextRequest(localMs);
    if (!request) return;
    this.grantRequest = {
      holder: request.holder,
      sequence: request.sequence,
      sentMs: localMs,
    };
    send(owner, {kind: 'grant', request});
  }

  takeAnswer(
    body: Extract<messages.Body, {kind: 'grantAnswer'}>,
    localMs: number,
    lifetimeMs: number,
  ): void {
    if (body.sequence !== this.grantRequest?.sequence) return;
    const {sentMs} = this.grantRequest;
    this.grantRequest = null;
    if (!body.answer) {
      this.grant.recordLoss(localMs);
      return;
    }
    this.grant.recordAnswer(body.answer, sentMs, localMs);
    if (body.answer.tokens === 0) return;
    const lastMs = sentMs + lifetimeMs - settings.STEP_MS;
    this.spendAtMs = Math.min(this.spendAtMs, lastMs);
  }
}
