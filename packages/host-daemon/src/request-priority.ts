import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';

/**
 * Number of route priorities distinguished within one organisation priority.
 */
const ROUTE_PRIORITY_LEVELS = 8;

/**
 * Highest importance value that frames can carry, for the least important
 * requests.
 */
const LOWEST_IMPORTANCE = 3;

/**
 * The priority of a request; 0 is the highest. The priority of the organisation
 * takes precedence over that of the route.
 */
export function requestPriority(
  organisation: Pick<routing.Organisation, 'priority'> | null,
  route: Pick<routing.Route, 'priority'>,
): number {
  const primary = organisation?.priority ?? route.priority;
  const secondary = Math.min(route.priority, ROUTE_PRIORITY_LEVELS - 1);
  return (
    Math.min(primary, LOWEST_IMPORTANCE) * ROUTE_PRIORITY_LEVELS + secondary
  );
}

type EncodedPriority = Pick<protocol.CallContext, 'importance' | 'rank'>;

/** Encodes a priority for the context of a call. */
export function encodePriority(priority: number): EncodedPriority {
  const importance = Math.floor(priority / ROUTE_PRIORITY_LEVELS);
  return {
    importance: importance as protocol.ImportanceClass,
    rank: (priority % ROUTE_PRIORITY_LEVELS) / ROUTE_PRIORITY_LEVELS,
  };
}

/** Decodes the priority of a received call. */
export function decodePriority(call: EncodedPriority): number {
  return Math.round((call.importance + call.rank) * ROUTE_PRIORITY_LEVELS);
}
