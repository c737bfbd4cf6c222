/** Maximum delay added to a request deadline, in milliseconds. */
const TIMER_RESOLUTION_MS = 32;

/**
 * Rounds a delay up to the timer resolution. Node.js keeps one list per
 * distinct delay, so timers are cheap when there are few distinct delays.
 */
export function roundUpDelay(delayMs: number): number {
  return Math.ceil(delayMs / TIMER_RESOLUTION_MS) * TIMER_RESOLUTION_MS;
}
