import type * as protocol from '@camphorwharf/protocol';
import type * as interfaces from './interfaces.js';

/**
 * Answers a query never to start a call for the process `incarnation`. An
 * older peer, which sends no `sentAfterMs`, rejects the verdict `unknown` and
 * treats `started` in the same way.
 */
export function answerCancelQuery(
  query: protocol.CancelIfNotStarted,
  calls: interfaces.StartedCalls,
  incarnation: string,
  nowMs: number,
): protocol.CancelAnswer {
  if (query.incarnation !== incarnation) {
    return {kind: 'cancelAnswer', verdict: 'otherIncarnation'};
  }
  const verdict = calls.cancelIfNotStarted(query, nowMs);
  const isOlderPeer = query.sentAfterMs === undefined;
  return {
    kind: 'cancelAnswer',
    verdict: verdict === 'unknown' && isOlderPeer ? 'started' : verdict,
  };
}
