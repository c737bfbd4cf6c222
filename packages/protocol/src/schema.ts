import * as runtime from '@camphorwharf/runtime';

/** Tells whether a decoded value may stand in a field. */
export type Check = (value: unknown) => boolean;
export type Fields = Readonly<Record<string, unknown>>;

/** The checked fields of one message kind; others are ignored. */
export type Shape = ReadonlyArray<readonly [field: string, check: Check]>;

export const isBoolean: Check = value => typeof value === 'boolean';
export const isText: Check = value => typeof value === 'string';
export const isBytes: Check = value => value instanceof Uint8Array;
/** A non-negative integer. */
export const isCount: Check = value =>
  Number.isSafeInteger(value) && (value as number) >= 0;
/** A finite number that is not negative. */
export const isAmount: Check = value =>
  typeof value === 'number' && value >= 0 && value < Infinity;
export const isFinite: Check = value => Number.isFinite(value);

export function isFields(value: unknown): value is Fields {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Uint8Array)
  );
}

export function nullable(check: Check): Check {
  return value => value === null || check(value);
}

/** The value is one of the own property names of `names`. */
export function nameOf(names: object): Check {
  const known = new Set(Object.keys(names));
  return value => typeof value === 'string' && known.has(value);
}

export function oneOf(...values: readonly unknown[]): Check {
  const known = new Set(values);
  return value => known.has(value);
}

export function listOf(check: Check): Check {
  return value => Array.isArray(value) && value.every(check);
}

export function fieldsOf(shape: Shape): Check {
  return value => isFields(value) && failingField(value, shape) === null;
}

/** A nested union: the value's `kind` selects the shape. */
export function unionOf(shapes: ReadonlyMap<string, Shape>): Check {
  return value => {
    if (!isFields(value) || typeof value.kind !== 'string') return false;
    const shape = shapes.get(value.kind);
    return shape !== undefined && failingField(value, shape) === null;
  };
}

/** Returns the first field that fails its check, or null. */
export function failingField(value: Fields, shape: Shape): string | null {
  for (const [field, check] of shape) {
    if (!check(value[field])) return field;
  }
  return null;
}

/** Throws ProtocolError when a field of `value` fails its check. */
export function requireShape(value: Fields, shape: Shape): void {
  const field = failingField(value, shape);
  if (field === null) return;
  throw new runtime.ProtocolError(
    `Frame "${String(value.kind)}" has an invalid field "${field}". Check ` +
      'that both ends run compatible versions.',
  );
}
