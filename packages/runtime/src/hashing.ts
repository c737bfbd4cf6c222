import * as crypto from 'node:crypto';

/** Returns the SHA-256 digest of `text` as lowercase hexadecimal digits. */
export function sha256Hex(text: string | Uint8Array): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

/**
 * Hashes `text` to a number in [0, 1) with FNV-1a and a final avalanche step.
 * The hash is fast and well distributed, but not cryptographic.
 */
export function hashToUnitInterval(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return ((hash ^ (hash >>> 16)) >>> 0) / 0x1_0000_0000;
}

/**
 * Orders `candidates` for `key` by rendezvous (highest random weight) hashing:
 * removing a candidate reassigns only the keys that ranked it first.
 */
export function rendezvousOrder<T>(
  key: string,
  candidates: readonly T[],
  identify: (candidate: T) => string,
): T[] {
  return candidates
    .map(candidate => {
      const identifier = identify(candidate);
      return {
        candidate,
        identifier,
        weight: hashToUnitInterval(`${identifier}|${key}`),
      };
    })
    .sort(
      (left, right) =>
        right.weight - left.weight ||
        (left.identifier < right.identifier ? -1 : 1),
    )
    .map(entry => entry.candidate);
}
