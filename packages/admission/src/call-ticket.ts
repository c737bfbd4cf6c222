import type * as interfaces from './interfaces.js';

/** Tracks one call in the admission controller, queued or running. */
export class CallTicket implements interfaces.AdmissionTicket {
  constructor(
    readonly call: interfaces.AdmissionCall,
    readonly offeredAtMs: number,
    /** Breaks ties between equal ranks in order of arrival. */
    readonly sequence: number,
  ) {}
}

/** Returns whether the first call is served before the second. */
export function isServedBefore(first: CallTicket, second: CallTicket): boolean {
  if (first.call.rank !== second.call.rank) {
    return first.call.rank < second.call.rank;
  }
  return first.sequence < second.sequence;
}

/**
 * Returns the key of a call's fair share. Calls on open routes, which have no
 * organisation, form one share.
 */
export function shareName(organisation: string | null): string {
  return organisation ?? '';
}
