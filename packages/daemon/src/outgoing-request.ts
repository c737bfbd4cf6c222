import type * as admission from '@camphorwharf/admission';
import type * as coordination from '@camphorwharf/coordination';
import type * as protocol from '@camphorwharf/protocol';
import type * as replayableBody from './replayable-body.js';

/** A call to send to some target of a service. */
export interface OutgoingRequest {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: protocol.HeaderList;
  readonly contentLength: number | null;
  readonly body: replayableBody.ReplayableBody | null;
  /** Everything but the remaining time and the retries, set per attempt. */
  readonly context: Omit<protocol.CallContext, 'remainingMs' | 'retries'>;
  readonly deadlineMs: number;
  readonly budget: admission.RetryBudget;
  readonly retryRatio: admission.RetryRatio;
  readonly signal: AbortSignal;
}

/** Chooses targets and learns from what became of the calls sent to them. */
export interface TargetChooser {
  choose(
    service: string,
    call: Pick<protocol.CallContext, 'importance' | 'rank' | 'organisation'>,
    nowMs: number,
    excluded: ReadonlySet<string>,
  ): coordination.TargetChoice;
  noteStart(hostId: string, nowMs: number): void;
  noteEnd(
    hostId: string,
    result: coordination.TargetResult,
    latencyMs: number,
    nowMs: number,
  ): void;
}
