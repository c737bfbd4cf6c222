import * as readerSelection from './reader-selection.js';

/**
 * Timeout of a reader's watch without changes. A change must take effect within
 * two seconds also when a watch has just begun to hang.
 */
export const READER_WATCH_MS = 1_200;

/**
 * A host that has heard of no contact with the platform for longer asks the
 * platform itself. It leaves half a second to apply a change within two
 * seconds.
 */
const STALE_AFTER_MS = 1_300;

/**
 * Fraction of the platform's read rate that is used if all hosts have to ask
 * the platform.
 */
const FALLBACK_READ_RATIO = 0.25;

/** How a host obtains the published state at a moment. */
export const ReadMode = {
  /** It watches the platform for others. */
  reader: 'reader',
  /** It asks the platform once, because it has heard of no recent contact. */
  fallback: 'fallback',
  /** Its peers inform it. */
  peers: 'peers',
} as const;
export type ReadModeName = keyof typeof ReadMode;

/** Ages of the last contact with the platform, in milliseconds. */
export interface ContactAges {
  /** Of this process itself. */
  readonly ownMs: number;
  /** As reported by peers. */
  readonly peersMs: number;
}

/** Decides whether this host calls the platform. */
export function readMode(
  role: readerSelection.DistributionRole,
  ages: ContactAges,
  hosts: number,
  readsPerSecond: number,
): ReadModeName {
  if (role.isReader) return ReadMode.reader;
  const ageMs = Math.min(ages.ownMs, ages.peersMs);
  return ageMs > staleAfterMs(hosts, readsPerSecond)
    ? ReadMode.fallback
    : ReadMode.peers;
}

/**
 * Age of the last known contact from which a host asks the platform itself, in
 * milliseconds.
 */
export function staleAfterMs(hosts: number, readsPerSecond: number): number {
  const affordableMs = (hosts * 1_000) / (readsPerSecond * FALLBACK_READ_RATIO);
  return Math.max(STALE_AFTER_MS, affordableMs);
}
