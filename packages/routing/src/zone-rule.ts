import type * as directory from './backend-server-directory.js';
import type * as targetState from './target-state.js';

/**
 * Difference of the expected waits of two availability zones from which
 * requests leave the zone, in units of the average run time. Traffic between
 * zones is expensive, and a short wait costs little.
 */
const ZONE_WAIT_MARGIN = 0.2;

/**
 * The same as a share of the wait in the other zones. When all zones are
 * overloaded, long waits differ by chance only.
 */
const ZONE_WAIT_RATIO = 0.5;

/**
 * Difference of the penalties for failures, busy daemons and cold starts from
 * which requests leave the zone, in units of the average run time.
 */
const ZONE_PENALTY_MARGIN = 0.25;

/**
 * Range above the margins, relative to them, over which the share of the
 * requests that leave rises from none to all. With a step, all senders would
 * leave and return together.
 */
const ZONE_RAMP = 1;
const ZONE_PENALTY_RAMP = 0.1;

/** What a selection takes into account. */
export interface Search {
  /** All targets of the service. */
  readonly candidates: readonly directory.BackendServer[];
  readonly excluded: ReadonlySet<string>;
  readonly coldUntilMs: (server: directory.BackendServer) => number;
  readonly nowMs: number;
  readonly work: targetState.RequestWork;
  /** Whether the request may be a trial of a failing target. */
  readonly mayTry: boolean;
  /** Whether hosts that could not be reached recently are left out. */
  readonly reachable: boolean;
}

/** The best target found in one group of candidates. */
export interface Selection {
  server: directory.BackendServer | null;
  costMs: number;
  /** Expected wait until the request gets a slot. */
  waitMs: number;
  /** Cost of failures, a busy daemon and a cold start. */
  penalty: number;
}

export function emptySelection(): Selection {
  return {server: null, costMs: Infinity, waitMs: Infinity, penalty: 0};
}

export function select(
  selection: Selection,
  server: directory.BackendServer | null,
  costMs: number,
  waitMs: number,
  penalty: number,
): void {
  selection.server = server;
  selection.costMs = costMs;
  selection.waitMs = waitMs;
  selection.penalty = penalty;
}

/**
 * Returns the share of the requests that leave the zone, by how much its waits
 * and penalties exceed those of the other zones beyond the margins. Without
 * targets in other zones, compares with an idle one.
 */
export function leavingShare(
  local: Selection,
  remote: Selection | null,
  {averageMs}: targetState.RequestWork,
): number {
  const remoteWaitMs = remote?.waitMs ?? 0;
  const marginMs =
    averageMs * ZONE_WAIT_MARGIN + remoteWaitMs * ZONE_WAIT_RATIO;
  const wait = (local.waitMs - remoteWaitMs) / marginMs - 1;
  const penalty = local.penalty - (remote?.penalty ?? 0);
  const unfit = penalty / ZONE_PENALTY_MARGIN - 1;
  return Math.max(0, wait) / ZONE_RAMP + Math.max(0, unfit) / ZONE_PENALTY_RAMP;
}
