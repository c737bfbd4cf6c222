/** Smaller steps are treated as corrections of the wall clock. */
const CORRECTION_TOLERANCE_MS = 400;

/**
 * Detects time that the monotonic clock did not count, for example while the
 * host was suspended, by comparison with the wall clock. A forward step of the
 * wall clock looks the same, so the result may only be used to be more
 * cautious.
 */
export class SuspendDetector {
  private offsetMs: number | null = null;

  /** Returns the uncounted milliseconds, or null. */
  observe(monotonicMs: number, wallMs: number): number | null {
    const offsetMs = wallMs - monotonicMs;
    const stepMs = offsetMs - (this.offsetMs ?? offsetMs);
    this.offsetMs = offsetMs;
    return stepMs > CORRECTION_TOLERANCE_MS ? Math.round(stepMs) : null;
  }
}
