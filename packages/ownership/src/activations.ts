import type * as protocol from '@camphorwharf/protocol';
import * as views from './views.js';

/** A view under which this member was active as an owner. */
export interface Activation {
  readonly view: protocol.View;
  /** When ownership covered all of its shards; null when only some. */
  readonly activatedMs: number | null;
}

/** Maximum number of gapless activations kept; older ones are dropped. */
const ACTIVATION_LIMIT = 16;

/** Appends an activation, dropping the oldest above the limit. */
export function append(
  activations: readonly Activation[],
  next: Activation,
): readonly Activation[] {
  return [...activations, next].slice(-ACTIVATION_LIMIT);
}

/**
 * Returns since when the member has owned `shard`, given gapless activations.
 * Dropped activations make the result later, which is safe.
 */
export function ownedSinceMs(
  activations: readonly Activation[],
  shard: string,
  isOwner: (shard: string, view: protocol.View) => boolean,
): number | null {
  let sinceMs: number | null = null;
  for (let index = activations.length - 1; index >= 0; index--) {
    if (!isOwner(shard, activations[index].view)) break;
    sinceMs = activations[index].activatedMs ?? sinceMs;
  }
  return sinceMs;
}

/** Whether each of `otherViews` has an activation. */
export function coverAll(
  activations: readonly Activation[],
  otherViews: readonly protocol.View[],
): boolean {
  return otherViews.every(view =>
    activations.some(activation => views.isSameView(activation.view, view)),
  );
}
