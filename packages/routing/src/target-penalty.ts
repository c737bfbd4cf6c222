import type * as runtime from '@camphorwharf/runtime';
import type * as directory from './backend-server-directory.js';
import type * as coldCapacity from './cold-capacity.js';
import type * as targetState from './target-state.js';

/**
 * Relative spread of the cost of a busy daemon. Senders learn of the load with
 * a delay; with equal costs they would all move together from one target to the
 * next.
 */
const BUSY_COST_SPREAD = 0.5;

/** Cost of a target during its cold start. */
const COLD_START_PENALTY = 0.3;

/**
 * Cost of a cold target that takes no further call of this sender at present.
 * Any other target is better.
 */
export const COLD_EXHAUSTED_PENALTY = 1_000;

/**
 * Returns the cost of a cold target, in units of the average run time.
 * `listedUntilMs` is the listed end of the cold start.
 */
export function coldPenalty(
  cold: coldCapacity.ColdCapacity | null,
  server: directory.BackendServer,
  listedUntilMs: number,
  nowMs: number,
): number {
  const untilMs =
    cold?.coldUntilMs(server.instance, listedUntilMs) ?? listedUntilMs;
  if (cold?.isExhausted(server, untilMs, nowMs)) return COLD_EXHAUSTED_PENALTY;
  return nowMs < untilMs ? COLD_START_PENALTY : 0;
}

/**
 * Returns the cost of a busy daemon. It is cubic, so that a utilisation of up
 * to a half is hardly penalised: queueing starts beyond it.
 */
export function busyPenalty(
  state: targetState.TargetState,
  random: runtime.RandomSource,
  nowMs: number,
): number {
  const busyShare = state.busyShare(nowMs);
  if (busyShare === 0) return 0;
  const spread = 1 + BUSY_COST_SPREAD * (random.next() - 0.5);
  return busyShare ** 3 * spread;
}
