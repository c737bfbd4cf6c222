/** Corrections of the wall clock that stay below this are no standstill. */
const CORRECTION_TOLERANCE_MS = 400;

/**
 * Finds time that the monotonic clock did not count, as while a host is
 * suspended, by the wall clock. A step of the wall clock forward looks the
 * same, so that what depends on it must only become more careful.
 */
export class SuspendDetector {
  private offsetMs: number | null = null;

  /** Returns the milliseconds that were not counted, or null. */
  observe(monotonicMs: number, wallMs: number): number | null {
    const offsetMs = wallMs - monotonicMs;
    const stepMs = offsetMs - (this.offsetMs ?? offsetMs);
    this.offsetMs = offsetMs;
    return stepMs > CORRECTION_TOLERANCE_MS ? Math.round(stepMs) : null;
  }
}
