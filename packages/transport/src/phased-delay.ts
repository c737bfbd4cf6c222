/**
 * Returns the time until the next instant of a phase, in milliseconds, but at
 * least half of the interval: a timer that fires a little early would
 * otherwise be followed by a second one at once.
 *
 * @param nowMs Present monotonic time.
 * @param phaseMs Shifts the instants against multiples of the interval.
 */
export function delayToPhase(
  nowMs: number,
  intervalMs: number,
  phaseMs: number,
): number {
  const delayMs = intervalMs - ((nowMs + phaseMs) % intervalMs);
  return delayMs < intervalMs / 2 ? delayMs + intervalMs : delayMs;
}
