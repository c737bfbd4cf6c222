import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as callResult from './call-result.js';
import * as callerRequest from './caller-request.js';
import type * as entryPath from './entry-path.js';

export interface CallerPathOptions {
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
  readonly entry: entryPath.EntryPath;
}

/** Answers callers with what became of their calls. */
export class CallerPath {
  /** Calls that have not been answered yet. */
  running = 0;

  constructor(private readonly options: CallerPathOptions) {}

  async handle(call: transport.CallerCall): Promise<void> {
    const startMs = this.options.clock.monotonicMs();
    this.running++;
    try {
      await this.respond(call, await this.options.entry.handle(call));
    } finally {
      this.running--;
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
        this.count('not-run', result.reason);
        await call.respondOutcome({kind: 'notRun', reason: result.reason});
        return;
      case 'unknown':
        this.count('unknown', result.reason);
        await call.respondOutcome({kind: 'unknown', reason: result.reason});
        return;
      case 'answer':
        await this.respondAnswer(call, result);
        return;
    }
  }

  private async respondAnswer(
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
      this.count('completed', 'none');
    } catch {
      if (call.signal.aborted || call.headSent) {
        this.count('unknown', call.signal.aborted ? 'callerGone' : 'cut');
        return;
      }
      this.count('unknown', 'answerTruncated');
      await call.respondOutcome({kind: 'unknown', reason: 'answerTruncated'});
    }
  }

  private count(outcome: string, reason: string): void {
    this.options.metrics.count(
      'calls_total',
      'Calls of callers and of the local backend server, by outcome.',
      {outcome, reason},
    );
  }
}
