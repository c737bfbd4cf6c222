import type * as protocol from '@camphorwharf/protocol';
import type * as routing from '@camphorwharf/routing';

/** Route priorities told apart for organisations of one priority. */
const ROUTE_LEVELS = 8;

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
  const first = organisation?.priority ?? route.priority;
  const second = Math.min(route.priority, ROUTE_LEVELS - 1);
  return Math.min(first, LOWEST_IMPORTANCE) * ROUTE_LEVELS + second;
}

type Rank = Pick<protocol.CallContext, 'importance' | 'rank'>;

/** The priority as it travels with a call. */
export function rankOf(priority: number): Rank {
  const importance = Math.floor(priority / ROUTE_LEVELS);
  return {
    importance: importance as protocol.ImportanceClass,
    rank: (priority % ROUTE_LEVELS) / ROUTE_LEVELS,
  };
}

/** The priority of a call that has travelled. */
export function priorityOf(call: Rank): number {
  return Math.round((call.importance + call.rank) * ROUTE_LEVELS);
}
