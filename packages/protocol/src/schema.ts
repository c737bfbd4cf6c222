import * as runtime from '@camphorwharf/runtime';

/** Tells whether a decoded value is valid for a field. */
export type Predicate = (value: unknown) => boolean;
/** A decoded map whose fields have not been validated. */
export type UnknownRecord = Readonly<Record<string, unknown>>;

/** The validated fields of one message kind; other fields are ignored. */
export type Schema = ReadonlyArray<readonly [field: string, check: Predicate]>;

export const isBoolean: Predicate = value => typeof value === 'boolean';
export const isString: Predicate = value => typeof value === 'string';
export const isBytes: Predicate = value => value instanceof Uint8Array;
/** A non-negative integer. */
export const isUint: Predicate = value =>
  Number.isSafeInteger(value) && (value as number) >= 0;
/** A finite, non-negative number. */
export const isNonNegative: Predicate = value =>
  typeof value === 'number' && value >= 0 && value < Infinity;
export const isFiniteNumber: Predicate = value => Number.isFinite(value);

export function isRecord(value: unknown): value is UnknownRecord {
  return (
    typeof value === 'object' &&
    value !== null &&
    !Array.isArray(value) &&
    !(value instanceof Uint8Array)
  );
}

export function nullable(check: Predicate): Predicate {
  return value => value === null || check(value);
}

/** The field is absent or valid. */
export function optional(check: Predicate): Predicate {
  return value => value === undefined || check(value);
}

/** The value is the name of an own property of `keySource`. */
export function keyOf(keySource: object): Predicate {
  const allowed = new Set(Object.keys(keySource));
  return value => typeof value === 'string' && allowed.has(value);
}

export function oneOf(...values: readonly unknown[]): Predicate {
  const allowed = new Set(values);
  return value => allowed.has(value);
}

export function arrayOf(check: Predicate): Predicate {
  return value => Array.isArray(value) && value.every(check);
}

export function objectOf(schema: Schema): Predicate {
  return value => isRecord(value) && firstInvalidField(value, schema) === null;
}

/** A nested union whose schema is selected by the value's `kind`. */
export function discriminatedUnion(
  schemas: ReadonlyMap<string, Schema>,
): Predicate {
  return value => {
    if (!isRecord(value) || typeof value.kind !== 'string') return false;
    const schema = schemas.get(value.kind);
    return schema !== undefined && firstInvalidField(value, schema) === null;
  };
}

/** Returns the name of the first invalid field, or null. */
export function firstInvalidField(
  value: UnknownRecord,
  schema: Schema,
): string | null {
  for (const [field, check] of schema) {
    if (!check(value[field])) return field;
  }
  return null;
}

/** Throws ProtocolError if a field of `value` is invalid. */
export function assertValid(value: UnknownRecord, schema: Schema): void {
  const invalidField = firstInvalidField(value, schema);
  if (invalidField === null) return;
  throw new runtime.ProtocolError(
    `Frame "${String(value.kind)}" has an invalid field "${invalidField}". ` +
      'Check that both peers run compatible versions.',
  );
}
