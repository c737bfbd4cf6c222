/** Changes between two lists of items with unique keys. */
export interface KeyedDelta<T> {
  /** Added and changed items. */
  readonly put: readonly T[];
  /** Keys of removed items. */
  readonly removed: readonly string[];
}

/** Returns the changes from `base` to `target`, ignoring order. */
export function createDelta<T>(
  base: readonly T[],
  target: readonly T[],
  keyOf: (item: T) => string,
): KeyedDelta<T> {
  const remaining = new Map(base.map(item => [keyOf(item), item] as const));
  const put = target.filter(item => {
    const key = keyOf(item);
    const previous = remaining.get(key);
    remaining.delete(key);
    return !previous || !isEqual(previous, item);
  });
  return {put, removed: [...remaining.keys()]};
}

/** Compares by identity first, as unchanged items are often the same object. */
function isEqual(left: unknown, right: unknown): boolean {
  return left === right || JSON.stringify(left) === JSON.stringify(right);
}

/** Applies a delta to `base`; the result is sorted by key. */
export function applyDelta<T>(
  base: readonly T[],
  delta: KeyedDelta<T>,
  keyOf: (item: T) => string,
): T[] {
  const items = new Map(base.map(item => [keyOf(item), item] as const));
  for (const key of delta.removed) items.delete(key);
  for (const item of delta.put) items.set(keyOf(item), item);
  return [...items.values()].sort((left, right) =>
    keyOf(left) < keyOf(right) ? -1 : 1,
  );
}
