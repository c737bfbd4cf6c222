import type * as admission from '@camphorwharf/admission';
import type * as declaration from '@camphorwharf/declaration';
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
export interface TargetChoice {
  choose(
    service: string,
    call: Pick<protocol.CallContext, 'importance' | 'rank'>,
    nowMs: number,
    excluded: ReadonlySet<string>,
  ):
    | {readonly kind: 'target'; readonly host: declaration.HostEntry}
    | {
        readonly kind: 'none';
        readonly reason: protocol.RefusalReasonName;
      };
  noteSent(hostId: string, nowMs: number): void;
  noteEnded(
    hostId: string,
    result: 'succeeded' | 'refused' | 'failed',
    latencyMs: number,
    nowMs: number,
  ): void;
  learnThreshold(
    hostId: string,
    threshold: protocol.SheddingThreshold | null,
    nowMs: number,
  ): void;
}
