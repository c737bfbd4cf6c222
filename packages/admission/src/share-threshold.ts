import * as protocol from '@camphorwharf/protocol';
import * as waiting from './waiting-call.js';

/** Most organisations that a threshold names. */
export const MAXIMUM_LISTED_ORGANISATIONS = 32;

/**
 * A shedding threshold with a cutoff rank for each organisation that differs
 * from the rest. `rank` holds for organisations that are not listed; it is
 * the cutoff of the organisation that exceeds its share least, so that a
 * sender that ignores the list never refuses a call within its share.
 */
export interface ShareThreshold extends protocol.SheddingThreshold {
  readonly organisations?: Readonly<Record<string, number>>;
}

export type ShareCall = Pick<protocol.CallContext, 'importance' | 'rank'> & {
  readonly organisation?: string | null;
};

/** Reports whether the call passes, by its organisation's own cutoff. */
export function passesShareThreshold(
  call: ShareCall,
  threshold: ShareThreshold,
): boolean {
  const listed = threshold.organisations;
  if (call.importance === threshold.importance && listed) {
    const share = waiting.shareOf(call.organisation ?? null);
    if (call.organisation !== undefined && Object.hasOwn(listed, share)) {
      return call.rank < listed[share];
    }
  }
  return protocol.passesThreshold(call, threshold);
}
