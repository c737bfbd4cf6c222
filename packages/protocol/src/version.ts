import type * as frames from './frames.js';

/** The protocol versions of one end, both inclusive. */
export type VersionRange = Pick<
  frames.Hello,
  'versionMinimum' | 'versionMaximum'
>;

/** Returns the highest version in both ranges, or null when none is. */
export function negotiateVersion(
  local: VersionRange,
  remote: VersionRange,
): number | null {
  const highest = Math.min(local.versionMaximum, remote.versionMaximum);
  const lowest = Math.max(local.versionMinimum, remote.versionMinimum);
  return highest >= lowest ? highest : null;
}
