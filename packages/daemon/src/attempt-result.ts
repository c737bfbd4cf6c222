import * as protocol from '@camphorwharf/protocol';
import type * as callResult from './call-result.js';

/** The result of one attempt and whether another attempt is safe. */
export type AttemptResult =
  | {readonly kind: 'final'; readonly result: callResult.CallResult}
  | {
      readonly kind: 'notRun';
      readonly result: callResult.CallResult & {readonly kind: 'refused'};
    }
  | {
      readonly kind: 'mayHaveRun';
      readonly result: callResult.CallResult & {readonly kind: 'unknown'};
    };

export function isRetryable(reason: protocol.RefusalReasonName): boolean {
  return protocol.RefusalReason[reason].retryable;
}

export function final(result: callResult.CallResult): AttemptResult {
  return {kind: 'final', result};
}

export function finalRefusal(
  reason: protocol.RefusalReasonName,
): callResult.CallResult {
  return {kind: 'refused', reason, final: true};
}

export function notRun(reason: protocol.RefusalReasonName): AttemptResult {
  return {kind: 'notRun', result: {kind: 'refused', reason, final: false}};
}

export function mayHaveRun(reason: protocol.UnknownReasonName): AttemptResult {
  return {kind: 'mayHaveRun', result: {kind: 'unknown', reason}};
}

/** Wraps a fully received body as a stream of one chunk. */
export async function* singleChunkBody(
  body: Uint8Array,
): AsyncGenerator<Uint8Array> {
  yield body;
}
