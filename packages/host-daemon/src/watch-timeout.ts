/** Watches held by each host: one on the configuration and one on the list. */
const WATCHES_PER_HOST = 2;

/**
 * Fraction of the platform's read rate that idle watches of all hosts may use.
 */
const IDLE_READ_RATIO = 0.25;

/**
 * Lower bound of the timeout. A host must learn of changes within three seconds
 * after its connections have gone silent, and a hung call ends only some time
 * after its timeout.
 */
const MINIMUM_TIMEOUT_MS = 1_500;

/**
 * The watches of a fleet end at different times, and the first host to see a
 * change informs the others. With more hosts each watch may therefore wait
 * longer, up to a limit at which a host without peers still learns of changes
 * itself.
 */
const TIMEOUT_PER_HOST_MS = 75;
const MAXIMUM_SCALED_TIMEOUT_MS = 4_000;

/** The platform's upper limit for the timeout of a watch. */
const MAXIMUM_TIMEOUT_MS = 30_000;

/**
 * Timeout of a watch without changes, in milliseconds. Idle watches leave most
 * of the platform's read rate to changes.
 */
export function idleWatchTimeoutMs(
  hosts: number,
  readsPerSecond: number,
): number {
  const watches = hosts * WATCHES_PER_HOST;
  const affordableMs = (watches * 1_000) / (readsPerSecond * IDLE_READ_RATIO);
  const scaledMs = Math.min(
    MAXIMUM_SCALED_TIMEOUT_MS,
    hosts * TIMEOUT_PER_HOST_MS,
  );
  const timeoutMs = Math.max(MINIMUM_TIMEOUT_MS, scaledMs, affordableMs);
  return Math.min(MAXIMUM_TIMEOUT_MS, timeoutMs);
}
