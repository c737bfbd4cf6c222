import type * as protocol from '@camphorwharf/protocol';
import type * as messages from './messages.js';
import * as settings from './settings.js';

/** The step of the protocol that a call waits for. */
type CallPhase = 'claiming' | 'calling' | 'cancelling' | 'done';

interface PendingCall {
  readonly idempotencyKey: string;
  /** Targets in the order in which they are tried. */
  readonly targets: ReadonlyArray<{hostId: string; incarnation: string}>;
  phase: CallPhase;
  /** Index of the current target. */
  attempt: number;
  phaseStartedMs: number;
}

/** Outcome that an entry daemon reports to its caller. */
export type CallOutcome = 'completed' | 'notRun' | 'unknown';

/** The entry daemon's view of the cell and its callbacks during one step. */
export interface CallContext {
  readonly nowMs: number;
  /** Host that owns the key shard; null when no owner is known. */
  readonly keyOwner: string | null;
  readonly send: messages.Send;
  readonly report: (requestId: string, outcome: CallOutcome) => void;
}

/**
 * Runs the call protocol of one entry daemon: claim, call, cancel, settle. It
 * reimplements the rules of section 4.6 of `docs/design.md`, because the
 * product's call path needs connections.
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
      phaseStartedMs: context.nowMs,
    };
    this.calls.set(requestId, call);
    if (context.keyOwner === null) {
      this.endCall(requestId, call, 'notRun', context);
      return;
    }
    context.send(context.keyOwner, {
      kind: 'claim',
      claim: createClaim(requestId, idempotencyKey),
    });
  }

  receiveClaimAnswer(
    requestId: string,
    verdict: string,
    context: CallContext,
  ): void {
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

  receiveCallAnswer(
    requestId: string,
    attempt: number,
    ran: boolean,
    context: CallContext,
  ): void {
    const call = this.calls.get(requestId);
    if (!call || call.attempt !== attempt) return;
    if (call.phase !== 'calling' && call.phase !== 'cancelling') return;
    if (ran) this.endCall(requestId, call, 'completed', context);
    else this.tryNextTarget(requestId, call, context);
  }

  receiveCancelAnswer(
    requestId: string,
    attempt: number,
    verdict: protocol.CancelAnswer['verdict'],
    context: CallContext,
  ): void {
    const call = this.calls.get(requestId);
    if (!call || call.attempt !== attempt) return;
    if (call.phase !== 'cancelling') return;
    if (verdict === 'neverStarts') this.tryNextTarget(requestId, call, context);
    else this.endCall(requestId, call, 'unknown', context);
  }

  /** Ends or cancels calls whose current phase has timed out. */
  checkTimeouts(context: CallContext): void {
    for (const [requestId, call] of this.calls) {
      const waitedMs = context.nowMs - call.phaseStartedMs;
      if (call.phase === 'done') continue;
      if (waitedMs < settings.REQUEST_TIMEOUT_MS) continue;
      if (call.phase === 'claiming') {
        this.endCall(requestId, call, 'notRun', context);
      } else if (call.phase === 'calling') {
        const target = call.targets[call.attempt];
        const callSentMs = call.phaseStartedMs;
        call.phase = 'cancelling';
        call.phaseStartedMs = context.nowMs;
        context.send(target.hostId, {
          kind: 'cancel',
          requestId,
          attempt: call.attempt,
          incarnation: target.incarnation,
          callSentMs,
        });
      } else {
        this.endCall(requestId, call, 'unknown', context);
      }
    }
  }

  private sendCall(
    requestId: string,
    call: PendingCall,
    context: CallContext,
  ): void {
    call.phase = 'calling';
    call.phaseStartedMs = context.nowMs;
    context.send(call.targets[call.attempt].hostId, {
      kind: 'call',
      requestId,
      attempt: call.attempt,
    });
  }

  /** Sends the call to the next target; the current one will never run it. */
  private tryNextTarget(
    requestId: string,
    call: PendingCall,
    context: CallContext,
  ): void {
    if (call.attempt + 1 < call.targets.length) {
      call.attempt++;
      this.sendCall(requestId, call, context);
    } else {
      this.endCall(requestId, call, 'notRun', context);
    }
  }

  private endCall(
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

function createClaim(
  requestId: string,
  idempotencyKey: string,
): protocol.KeyClaim {
  return {
    kind: 'keyClaim',
    organisation: settings.ORGANISATION,
    idempotencyKey,
    payloadDigest: 'd',
    requestId,
  };
}
