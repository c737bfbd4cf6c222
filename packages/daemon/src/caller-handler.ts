import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as callResult from './call-result.js';
import * as callerRequest from './caller-request.js';
import type * as entryHandler from './entry-handler.js';

export interface CallerHandlerOptions {
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
  readonly entryHandler: entryHandler.EntryHandler;
}

/**
 * Handles the calls that `CallerServer` receives in packages/daemon: obtains
 * the result from `EntryHandler`, sends it as an HTTP response and counts it.
 * The counterpart of both handlers in packages/host-daemon is `RequestHandler`.
 */
export class CallerHandler {
  /** Number of calls whose response has not ended. */
  runningCount = 0;

  constructor(private readonly options: CallerHandlerOptions) {}

  async handle(call: transport.CallerCall): Promise<void> {
    const startMs = this.options.clock.monotonicMs();
    this.runningCount++;
    try {
      await this.respond(call, await this.options.entryHandler.handle(call));
    } finally {
      this.runningCount--;
      this.options.metrics.observeSeconds(
        'entry_call_seconds',
        'Time from the arrival of a call at this daemon to its outcome.',
        (this.options.clock.monotonicMs() - startMs) / 1_000,
      );
    }
  }

  private async respond(
    call: transport.CallerCall,
    result: callResult.CallResult,
  ): Promise<void> {
    switch (result.kind) {
      case 'refused':
        this.countOutcome('not-run', result.reason);
        await call.respondOutcome({kind: 'notRun', reason: result.reason});
        return;
      case 'unknown':
        this.countOutcome('unknown', result.reason);
        await call.respondOutcome({kind: 'unknown', reason: result.reason});
        return;
      case 'answer':
        await this.sendResponse(call, result);
        return;
    }
  }

  private async sendResponse(
    call: transport.CallerCall,
    result: Extract<callResult.CallResult, {kind: 'answer'}>,
  ): Promise<void> {
    try {
      await call.respond({
        status: result.status,
        headers: callerRequest.passedHeaders(result.headers),
        contentLength: result.contentLength,
        body: result.body,
      });
      this.countOutcome('completed', 'none');
    } catch {
      if (call.signal.aborted || call.headersSent) {
        this.countOutcome(
          'unknown',
          call.signal.aborted ? 'callerGone' : 'cut',
        );
        return;
      }
      this.countOutcome('unknown', 'answerTruncated');
      await call.respondOutcome({kind: 'unknown', reason: 'answerTruncated'});
    }
  }

  private countOutcome(outcome: string, reason: string): void {
    this.options.metrics.count(
      'calls_total',
      'Calls of callers and of the local backend server, by outcome.',
      {outcome, reason},
    );
  }
}
