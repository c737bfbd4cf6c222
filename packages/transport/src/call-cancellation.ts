import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as peer from './peer-interfaces.js';

/** Timeout of a query, in milliseconds. */
const QUERY_TIMEOUT_MS = 1_000;

/** Identifies a call whose response was lost. */
export interface LostCall {
  readonly requestId: string;
  readonly attempt: number;
  /** Incarnation of the process that received the call. */
  readonly incarnation: string;
  /** See `PeerResult`. */
  readonly sentAfterMs: number | undefined;
}

/**
 * Asks a target, over a connection other than the one that was lost, never to
 * start a call. Returns true if the incarnation that received the call confirms
 * that it has not started and never will; replies of other incarnations and
 * failures prove nothing. `onVerdict` receives the verdict that is counted.
 * Never rejects.
 *
 * A target that sends no readings of its clock is not asked: it is of an older
 * version, which also promises this after the entry of a call has expired.
 */
export async function confirmNeverStarts(
  connect: () => Promise<peer.PeerLink>,
  call: LostCall,
  metrics: Pick<runtime.Metrics, 'count'>,
  onVerdict: (verdict: string) => void = () => undefined,
): Promise<boolean> {
  const verdict =
    call.sentAfterMs === undefined
      ? 'olderPeer'
      : await askTarget(connect, {kind: 'cancelIfNotStarted', ...call});
  metrics.count(
    'cancel_queries_total',
    'Queries that ask a target never to start a call, by verdict.',
    {verdict},
  );
  onVerdict(verdict);
  return verdict === 'neverStarts';
}

async function askTarget(
  connect: () => Promise<peer.PeerLink>,
  query: protocol.CancelIfNotStarted,
): Promise<protocol.CancelAnswer['verdict'] | 'unreachable'> {
  try {
    const link = await connect();
    const reply = await link.request(query, QUERY_TIMEOUT_MS);
    return reply.kind === 'cancelAnswer' ? reply.verdict : 'unreachable';
  } catch {
    return 'unreachable';
  }
}
