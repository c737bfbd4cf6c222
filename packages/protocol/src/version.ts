import type * as frames from './frames.js';

/** The inclusive range of protocol versions that one peer supports. */
export type VersionRange = Pick<
  frames.Hello,
  'versionMinimum' | 'versionMaximum'
>;

/** Returns the highest version in both ranges, or null if there is none. */
export function negotiateVersion(
  local: VersionRange,
  remote: VersionRange,
): number | null {
  const maximum = Math.min(local.versionMaximum, remote.versionMaximum);
  const minimum = Math.max(local.versionMinimum, remote.versionMinimum);
  return maximum >= minimum ? maximum : null;
}
