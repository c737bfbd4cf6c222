/** Watches that each host keeps: the configuration and the list. */
const WATCHES_PER_HOST = 2;

/** Part of the platform's reads that idle watches of all hosts may take. */
const IDLE_SHARE = 0.25;

/**
 * A host must know of changes three seconds after its connections have gone
 * silent, and a call that hangs ends some time after its wait.
 */
const SHORTEST_WAIT_MS = 1_500;

/**
 * The watches of a fleet end one after the other, and whoever hears of a change
 * tells the others: with more hosts each may wait for longer, up to a limit
 * that lets a host without peers learn of changes on its own.
 */
const WAIT_PER_HOST_MS = 75;
const LONGEST_PEERED_WAIT_MS = 4_000;

/** The platform lets no watch wait for longer. */
const LONGEST_WAIT_MS = 30_000;

/**
 * How long a watch without changes waits, in milliseconds. Idle watches of a
 * fleet leave most of the platform's reads to changes.
 */
export function watchWaitMs(hosts: number, readsPerSecond: number): number {
  const watches = hosts * WATCHES_PER_HOST;
  const affordableMs = (watches * 1_000) / (readsPerSecond * IDLE_SHARE);
  const peeredMs = Math.min(LONGEST_PEERED_WAIT_MS, hosts * WAIT_PER_HOST_MS);
  const waitMs = Math.max(SHORTEST_WAIT_MS, peeredMs, affordableMs);
  return Math.min(LONGEST_WAIT_MS, waitMs);
}
