import type * as admission from '@camphorwharf/admission';
import type * as coordination from '@camphorwharf/coordination';
import type * as protocol from '@camphorwharf/protocol';
import type * as replayableBody from './replayable-body.js';

/** A call to send to a target of a service. */
export interface OutgoingRequest {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: protocol.HeaderList;
  readonly contentLength: number | null;
  readonly body: replayableBody.ReplayableBody | null;
  /** The call context without the fields that are set for each attempt. */
  readonly context: Omit<protocol.CallContext, 'remainingMs' | 'retries'>;
  readonly deadlineMs: number;
  readonly budget: admission.RetryBudget;
  readonly retryRatio: admission.RetryRatio;
  readonly signal: AbortSignal;
}

/** Chooses targets, based on the results and latencies of earlier calls. */
export interface LoadBalancer {
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
