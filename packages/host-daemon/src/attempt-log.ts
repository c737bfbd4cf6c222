import type * as transport from '@camphorwharf/transport';
import type * as requestLogger from './request-logger.js';
import type * as targetCall from './target-call.js';

/** What proves that the backend server has not run a call. */
export type NotRunSign =
  'connectionNotWritten' | 'misdirected' | 'notExecutedField';

/**
 * Logs the attempts of requests that may run once at the daemon of their
 * target. To bound the log, a first attempt that ends with a whole response of
 * the backend server leaves no line.
 */
export class AttemptLog {
  constructor(
    private readonly requestLog: Pick<requestLogger.RequestLogger, 'log'>,
    /** In lower case. */
    private readonly proofHeader: string,
  ) {}

  /** Called immediately before a call is sent to the backend server. */
  noteStart(call: targetCall.TargetCall): void {
    if (call.idempotent || call.attempt <= 1) return;
    this.requestLog.log('attempt-started', identity(call), 'runsOnce');
  }

  /**
   * Called with the result of the exchange and with what this daemon concluded
   * from it.
   */
  noteEnd(
    call: targetCall.TargetCall,
    exchange: transport.BufferedExchangeResult,
    result: targetCall.CallResult,
  ): void {
    if (call.idempotent) return;
    if (call.attempt <= 1 && result.kind === 'answer') return;
    this.requestLog.log(
      'attempt-ended',
      {
        ...identity(call),
        outcome: result.kind,
        ...(result.kind === 'answer' ? {} : {reason: result.reason}),
        ...(result.kind === 'refused' ? {sign: notRunSign(result)} : {}),
        ...this.exchangeFields(exchange),
      },
      'runsOnce',
    );
  }

  private exchangeFields(
    exchange: transport.BufferedExchangeResult,
  ): Readonly<Record<string, unknown>> {
    switch (exchange.kind) {
      case 'answer':
        return {
          status: exchange.status,
          connectionUses: exchange.connection.uses,
          connectionAgeMs: Math.round(exchange.connection.ageMs),
          hasTrailingBytes: exchange.hasTrailingBytes,
          hasProof: exchange.headers.some(
            ([name]) => name.toLowerCase() === this.proofHeader,
          ),
        };
      case 'lost':
      case 'notSent':
        return {error: exchange.error.message};
    }
  }
}

function identity(
  call: targetCall.TargetCall,
): Readonly<Record<string, unknown>> {
  const {requestId, attempt, instance} = call;
  return {requestId, attempt, instance};
}

function notRunSign(
  refusal: targetCall.CallResult & {kind: 'refused'},
): NotRunSign {
  if (!refusal.byServer) return 'connectionNotWritten';
  return refusal.reason === 'targetUnavailable'
    ? 'misdirected'
    : 'notExecutedField';
}
