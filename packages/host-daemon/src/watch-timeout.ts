/** Watches that each host keeps: the configuration and the list. */
const WATCHES_PER_HOST = 2;

/** Part of the platform's reads that idle watches of all hosts may take. */
const IDLE_READ_RATIO = 0.25;

/**
 * A host must know of changes three seconds after its connections have gone
 * silent, and a call that hangs ends some time after its wait.
 */
const MINIMUM_TIMEOUT_MS = 1_500;

/**
 * The watches of a fleet end one after the other, and whoever hears of a change
 * tells the others: with more hosts each may wait for longer, up to a limit
 * that lets a host without peers learn of changes on its own.
 */
const TIMEOUT_PER_HOST_MS = 75;
const MAXIMUM_PEERED_TIMEOUT_MS = 4_000;

/** The platform lets no watch wait for longer. */
const MAXIMUM_TIMEOUT_MS = 30_000;

/**
 * How long a watch without changes waits, in milliseconds. Idle watches of a
 * fleet leave most of the platform's reads to changes.
 */
export function idleWatchTimeoutMs(
  hosts: number,
  readsPerSecond: number,
): number {
  const watches = hosts * WATCHES_PER_HOST;
  const affordableMs = (watches * 1_000) / (readsPerSecond * IDLE_READ_RATIO);
  const peeredMs = Math.min(
    MAXIMUM_PEERED_TIMEOUT_MS,
    hosts * TIMEOUT_PER_HOST_MS,
  );
  const timeoutMs = Math.max(MINIMUM_TIMEOUT_MS, peeredMs, affordableMs);
  return Math.min(MAXIMUM_TIMEOUT_MS, timeoutMs);
}
