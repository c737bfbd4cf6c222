import type * as interfaces from './interfaces.js';

/** A call that the controller holds, waiting or started. */
export class WaitingCall implements interfaces.AdmissionTicket {
  constructor(
    readonly call: interfaces.AdmissionCall,
    readonly offeredMs: number,
    /** Orders calls of equal rank by arrival. */
    readonly sequence: number,
  ) {}
}

/** Reports whether the first call is served before the second. */
export function ranksBefore(first: WaitingCall, second: WaitingCall): boolean {
  if (first.call.rank !== second.call.rank) {
    return first.call.rank < second.call.rank;
  }
  return first.sequence < second.sequence;
}

/** Name of the share that a call belongs to; open routes use one share. */
export function shareOf(organisation: string | null): string {
  return organisation ?? '';
}
