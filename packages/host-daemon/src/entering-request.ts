import type * as routing from '@camphorwharf/routing';
import type * as callerMessages from './caller-messages.js';

/** A request of a client, or of the local backend server, with a checked key. */
export interface EnteringRequest {
  readonly incoming: callerMessages.IncomingRequest;
  readonly requestId: string;
  readonly route: routing.Route;
  readonly organisation: routing.Organisation | null;
  /** As in `RoutedRequest`. */
  readonly nested: boolean;
  readonly arrivedMs: number;
  /** Time that its sender waits for the response, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Monotonic time by which it ends in any case: by its timeout or by that of
   * its route.
   */
  readonly ownDeadlineMs: number;
}

/** An entering request that this daemon may still begin, and where it goes. */
export interface DirectedRequest extends EnteringRequest {
  readonly service: string;
  /** 0 is the highest priority; see request-priority.ts. */
  readonly priority: number;
  /**
   * Time from the arrival until the response is due, in milliseconds, by the
   * request itself or by a planned stop.
   */
  readonly remainingMs: number;
}
