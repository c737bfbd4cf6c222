/** Watches that each host keeps: the configuration and the list. */
const WATCHES_PER_HOST = 2;

/** Part of the platform's reads that idle watches of all hosts may take. */
const IDLE_SHARE = 0.25;

/**
 * A host must know of changes three seconds after its connections have gone
 * silent, and a call that hangs ends some time after its wait.
 */
const SHORTEST_WAIT_MS = 1_500;

/** The platform lets no watch wait for longer. */
const LONGEST_WAIT_MS = 30_000;

/**
 * How long a watch without changes waits, in milliseconds, so that the idle
 * watches of a fleet leave most of the platform's reads to changes. Where the
 * fleet is large, hosts learn of a hung watch from the reports of their peers.
 */
export function watchWaitMs(hosts: number, readsPerSecond: number): number {
  const watches = hosts * WATCHES_PER_HOST;
  const waitMs = (watches * 1_000) / (readsPerSecond * IDLE_SHARE);
  return Math.min(LONGEST_WAIT_MS, Math.max(SHORTEST_WAIT_MS, waitMs));
}
