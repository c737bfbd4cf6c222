/**
 * Returns the delay until the next multiple of the interval, shifted by the
 * phase, in milliseconds. The delay is at least half an interval; otherwise a
 * timer that fires slightly early would fire again immediately.
 *
 * @param nowMs Current monotonic time.
 * @param phaseMs Phase offset; the delay ends this much before the multiple.
 */
export function delayToPhase(
  nowMs: number,
  intervalMs: number,
  phaseMs: number,
): number {
  const delayMs = intervalMs - ((nowMs + phaseMs) % intervalMs);
  return delayMs < intervalMs / 2 ? delayMs + intervalMs : delayMs;
}
