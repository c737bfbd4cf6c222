import type * as protocol from '@camphorwharf/protocol';
import * as views from './views.js';

/** A view that this member acted under. */
export interface Tenure {
  readonly view: protocol.View;
  /** When all of its shards could be acted for; null when only some could. */
  readonly activatedMs: number | null;
}

/** Views that were acted under without a gap; older ones are forgotten. */
const TENURE_LIMIT = 16;

/** Appends a tenure, dropping the oldest when there are too many. */
export function extend(
  tenures: readonly Tenure[],
  next: Tenure,
): readonly Tenure[] {
  return [...tenures, next].slice(-TENURE_LIMIT);
}

/**
 * Since when the owner has owned `shard`, given tenures without a gap between
 * them. Forgotten tenures make the result later, which is the safe side.
 */
export function ownedSinceMs(
  tenures: readonly Tenure[],
  shard: string,
  isOwner: (shard: string, view: protocol.View) => boolean,
): number | null {
  let sinceMs: number | null = null;
  for (let index = tenures.length - 1; index >= 0; index--) {
    if (!isOwner(shard, tenures[index].view)) break;
    sinceMs = tenures[index].activatedMs ?? sinceMs;
  }
  return sinceMs;
}

export function coversAll(
  tenures: readonly Tenure[],
  others: readonly protocol.View[],
): boolean {
  return others.every(view =>
    tenures.some(tenure => views.sameView(tenure.view, view)),
  );
}
