import type * as protocol from '@camphorwharf/protocol';
import type * as messages from './messages.js';
import * as settings from './settings.js';

type Phase = 'claiming' | 'calling' | 'cancelling' | 'done';

interface PendingCall {
  readonly idempotencyKey: string;
  readonly targets: ReadonlyArray<{hostId: string; incarnation: string}>;
  phase: Phase;
  attempt: number;
  sinceMs: number;
}

export type CallOutcome = 'completed' | 'notRun' | 'unknown';

/** Where an entry daemon finds the owner of the key, and what it reports. */
export interface CallContext {
  readonly nowMs: number;
  readonly keyOwner: string | null;
  readonly send: messages.Send;
  readonly report: (requestId: string, outcome: CallOutcome) => void;
}

/**
 * The calls of one entry daemon (4.6). Modelled here because the product's
 * call path needs connections; it follows the rules of the design page.
 */
export class CallClient {
  private readonly calls = new Map<string, PendingCall>();

  start(
    requestId: string,
    idempotencyKey: string,
    targets: PendingCall['targets'],
    context: CallContext,
  ): void {
    const call: PendingCall = {
      idempotencyKey,
      targets,
      phase: 'claiming',
      attempt: 0,
      sinceMs: context.nowMs,
    };
    this.calls.set(requestId, call);
    if (context.keyOwner === null) {
      this.finish(requestId, call, 'notRun', context);
      return;
    }
    context.send(context.keyOwner, {
      kind: 'claim',
      claim: claimOf(requestId, idempotencyKey),
    });
  }

  takeClaim(requestId: string, verdict: string, context: CallContext): void {
    const call = this.calls.get(requestId);
    if (!call || call.phase !== 'claiming') return;
    if (verdict === 'claimed') this.sendCall(requestId, call, context);
    else if (verdict === 'olderThanOwner') {
      call.phase = 'done';
      context.report(requestId, 'unknown');
    } else {
      call.phase = 'done';
      context.report(requestId, 'notRun');
    }
  }

  takeCallAnswer(
    requestId: string,
    attempt: number,
    ran: boolean,
    context: CallContext,
  ): void {
    const call = this.calls.get(requestId);
    if (!call || call.attempt !== attempt) return;
    if (call.phase !== 'calling' && call.phase !== 'cancelling') return;
    if (ran) this.finish(requestId, call, 'completed', context);
    else this.moveOn(requestId, call, context);
  }

  takeCancelAnswer(
    requestId: string,
    attempt: number,
    verdict: protocol.CancelAnswer['verdict'],
    context: CallContext,
  ): void {
    const call = this.calls.get(requestId);
    if (!call || call.attempt !== attempt) return;
    if (call.phase !== 'cancelling') return;
    if (verdict === 'neverStarts') this.moveOn(requestId, call, context);
    else this.finish(requestId, call, 'unknown', context);
  }

  /** Gives up what has waited too long. */
  checkTimeouts(context: CallContext): void {
    for (const [requestId, call] of this.calls) {
      const waitedMs = context.nowMs - call.sinceMs;
      if (call.phase === 'done') continue;
      if (waitedMs < settings.REQUEST_TIMEOUT_MS) continue;
      if (call.phase === 'claiming') {
        this.finish(requestId, call, 'notRun', context);
      } else if (call.phase === 'calling') {
        const target = call.targets[call.attempt];
        call.phase = 'cancelling';
        call.sinceMs = context.nowMs;
        context.send(target.hostId, {
          kind: 'cancel',
          requestId,
          attempt: call.attempt,
          incarnation: target.incarnation,
        });
      } else {
        this.finish(requestId, call, 'unknown', context);
      }
    }
  }

  private sendCall(
    requestId: string,
    call: PendingCall,
    context: CallContext,
  ): void {
    call.phase = 'calling';
    call.sinceMs = context.nowMs;
    context.send(call.targets[call.attempt].hostId, {
      kind: 'call',
      requestId,
      attempt: call.attempt,
    });
  }

  /** The present target never runs the call: uses the next one. */
  private moveOn(
    requestId: string,
    call: PendingCall,
    context: CallContext,
  ): void {
    if (call.attempt + 1 < call.targets.length) {
      call.attempt++;
      this.sendCall(requestId, call, context);
    } else {
      this.finish(requestId, call, 'notRun', context);
    }
  }

  private finish(
    requestId: string,
    call: PendingCall,
    outcome: CallOutcome,
    context: CallContext,
  ): void {
    call.phase = 'done';
    context.report(requestId, outcome);
    if (context.keyOwner === null) return;
    context.send(context.keyOwner, {
      kind: 'settle',
      settle: {
        kind: 'keySettle',
        organisation: settings.ORGANISATION,
        idempotencyKey: call.idempotencyKey,
        requestId,
        result:
          outcome === 'completed'
            ? {kind: 'completed', status: 200}
            : {kind: outcome},
      },
    });
  }
}

function claimOf(requestId: string, idempotencyKey: string): protocol.KeyClaim {
  return {
    kind: 'keyClaim',
    organisation: settings.ORGANISATION,
    idempotencyKey,
    payloadDigest: 'd',
    requestId,
  };
}
