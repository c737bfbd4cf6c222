import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';

/** Route priorities told apart for organisations of one priority. */
const ROUTE_PRIORITY_LEVELS = 8;

/** The last importance class that frames carry. */
const LOWEST_IMPORTANCE = 3;

/**
 * The priority of a request, 0 the most important: that of its organisation
 * decides, and between organisations of one priority that of the route.
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

/** The priority as it travels with a call. */
export function encodePriority(priority: number): EncodedPriority {
  const importance = Math.floor(priority / ROUTE_PRIORITY_LEVELS);
  return {
    importance: importance as protocol.ImportanceClass,
    rank: (priority % ROUTE_PRIORITY_LEVELS) / ROUTE_PRIORITY_LEVELS,
  };
}

/** The priority of a call that has travelled. */
export function decodePriority(call: EncodedPriority): number {
  return Math.round((call.importance + call.rank) * ROUTE_PRIORITY_LEVELS);
}
