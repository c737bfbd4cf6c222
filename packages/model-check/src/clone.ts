/**
 * Returns a copy of an object graph that shares only immutable parts. Unlike
 * structuredClone it keeps prototypes, so the classes of the product can be
 * copied without code of their own.
 */
export function deepClone<T>(root: T): T {
  const copies = new Map<object, object>();
  return copyOf(root, copies) as T;
}

function copyOf(value: unknown, copies: Map<object, object>): unknown {
  if (typeof value !== 'object' || value === null) return value;
  if (isImmutable(value)) return value;
  const known = copies.get(value);
  if (known) return known;
  if (Array.isArray(value)) {
    const copy: unknown[] = [];
    copies.set(value, copy);
    for (const item of value) copy.push(copyOf(item, copies));
    return copy;
  }
  if (value instanceof Map) {
    const copy = new Map();
    copies.set(value, copy);
    for (const [key, item] of value) copy.set(key, copyOf(item, copies));
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
    copy[name] = copyOf((value as Record<string, unknown>)[name], copies);
  }
  return copy;
}

/**
 * Views, identities, contacts and messages are replaced and never changed;
 * sharing them makes a copy about twice as fast.
 */
function isImmutable(value: object): boolean {
  return (
    'members' in value ||
    'hostId' in value ||
    'countsFromMs' in value ||
    'body' in value
  );
}
