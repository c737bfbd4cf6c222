/** Deadlines of requests may be this late, in milliseconds. */
const TIMER_RESOLUTION_MS = 32;

/**
 * Rounds a delay up to a whole step. Node.js keeps a list for each distinct
 * delay, so that few distinct ones make a timer cheap.
 */
export function roundUpDelay(delayMs: number): number {
  return Math.ceil(delayMs / TIMER_RESOLUTION_MS) * TIMER_RESOLUTION_MS;
}
