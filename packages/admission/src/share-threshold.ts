import * as protocol from '@camphorwharf/protocol';
import * as callTicket from './call-ticket.js';

/** Maximum number of organisations listed in a threshold. */
export const MAXIMUM_LISTED_ORGANISATIONS = 32;

/**
 * Shedding threshold with an individual cutoff rank for each organisation that
 * exceeds its share. `rank` applies to organisations that are not listed and is
 * the cutoff of the organisation that exceeds its share least, so a sender that
 * ignores the list never refuses a call within its share.
 */
export interface ShareThreshold extends protocol.SheddingThreshold {
  readonly organisations?: Readonly<Record<string, number>>;
}

export type ShareCall = Pick<protocol.CallContext, 'importance' | 'rank'> & {
  readonly organisation?: string | null;
};

/** Returns whether the call passes the cutoff of its organisation. */
export function passesShareThreshold(
  call: ShareCall,
  threshold: ShareThreshold,
): boolean {
  const listed = threshold.organisations;
  if (call.importance === threshold.importance && listed) {
    const share = callTicket.shareName(call.organisation ?? null);
    if (call.organisation !== undefined && Object.hasOwn(listed, share)) {
      return call.rank < listed[share];
    }
  }
  return protocol.passesThreshold(call, threshold);
}
