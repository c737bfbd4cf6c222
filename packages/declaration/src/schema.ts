import * as z from 'zod';

import type * as documents from './document.js';

/** Item names. A service name is also a path segment, so no upper case. */
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const LABEL_NAME_PATTERN = /^[a-zA-Z][a-zA-Z0-9._-]{0,62}$/;
const METHOD_PATTERN = /^[A-Z][A-Z-]{0,31}$/;
const KEY_HASH_PATTERN = /^[0-9a-f]{64}$/;
/** Segments of characters that need no escaping, without trailing slash. */
const PATH_PREFIX_PATTERN = /^\/$|^(?:\/[A-Za-z0-9._~!$&'()*+,;=:@-]+)+$/;
const DOT_SEGMENT_PATTERN = /(?:^|\/)\.{1,2}(?:\/|$)/;

/**
 * Maximum timeout. Must be below the retention time of idempotency keys, ten
 * minutes, so that a key is retained longer than any call that uses it.
 */
const MAXIMUM_TIMEOUT_MS = 300_000;

// The message of each check is a noun phrase that describes a valid value. It
// is used in problems as "must be …" and "Set …".

const stringMatching = (pattern: RegExp, expected: string) =>
  z.string({error: expected}).regex(pattern, {error: expected});

const wholeNumber = (minimum: number, maximum: number, unit: string) => {
  const expected =
    `a whole number from ${minimum} to ${maximum} ${unit}`.trim();
  return z
    .number({error: expected})
    .refine(
      value => Number.isInteger(value) && value >= minimum && value <= maximum,
      {error: expected},
    );
};

const realNumber = (minimum: number, maximum: number, unit: string) => {
  const expected = `a number from ${minimum} to ${maximum} ${unit}`.trim();
  return z
    .number({error: expected})
    .refine(value => value >= minimum && value <= maximum, {error: expected});
};

const name = stringMatching(
  NAME_PATTERN,
  'a name of 1 to 63 lower-case letters, digits, ".", "_" or "-" that starts with a letter or digit',
);
const labelName = stringMatching(
  LABEL_NAME_PATTERN,
  'a label name of 1 to 63 letters, digits, ".", "_" or "-" that starts with a letter',
);
const labelValue = stringMatching(
  /^[\x20-\x7e]{1,128}$/,
  'a text of 1 to 128 printable ASCII characters',
);
const labels = z.record(labelName, labelValue, {
  error: 'a table of label names and texts',
});
const booleanField = z.boolean({error: 'true or false'});
const listOf = <T extends z.ZodType>(
  element: T,
  minimum: number,
  maximum: number,
) => {
  const expected = `a list of ${minimum} to ${maximum} entries`;
  return z
    .array(element, {error: expected})
    .min(minimum, {error: expected})
    .max(maximum, {error: expected});
};

const importance = wholeNumber(
  0,
  3,
  '(0 is shed last, 3 first)',
) as unknown as z.ZodType<0 | 1 | 2 | 3>;

export const region = z.strictObject({
  name,
  weight: realNumber(0.0001, 1, '(part of each rate and burst)'),
  cells: wholeNumber(1, 1_024, 'cells'),
  availabilityZones: listOf(name, 1, 64),
});

export const service = z.strictObject({name, labels});

export const route = z.strictObject({
  name,
  service: name,
  methods: listOf(
    stringMatching(METHOD_PATTERN, 'an upper-case HTTP method such as "GET"'),
    0,
    32,
  ),
  pathPrefix: stringMatching(
    PATH_PREFIX_PATTERN,
    'a path of whole segments such as "/parts", without "%", "?" or a final slash, or "/"',
  )
    .max(1_024, {error: 'a path of at most 1024 characters'})
    .refine(value => !DOT_SEGMENT_PATTERN.test(value), {
      error: 'a path without "." and ".." segments',
    }),
  open: booleanField,
  idempotent: booleanField,
  importance,
  labels,
});

export const organisation = z.strictObject({
  name,
  labels,
  ratePerSecond: realNumber(0.001, 10_000_000, 'tokens per second'),
  burst: wholeNumber(1, 10_000_000, 'tokens'),
  keyHashes: listOf(
    stringMatching(
      KEY_HASH_PATTERN,
      'a SHA-256 digest of 64 lower-case hex digits',
    ),
    0,
    1_000,
  ),
});

export const settings = z
  .strictObject({
    importance: importance.exactOptional(),
    timeoutMs: wholeNumber(
      1,
      MAXIMUM_TIMEOUT_MS,
      'milliseconds',
    ).exactOptional(),
    retries: wholeNumber(0, 10, 'retries').exactOptional(),
    retryRatio: realNumber(0, 1, '(retries per first attempt)').exactOptional(),
    maximumConcurrency: wholeNumber(
      1,
      100_000,
      'calls at one target',
    ).exactOptional(),
    maximumQueue: wholeNumber(
      0,
      1_024,
      'waiting calls at one target',
    ).exactOptional(),
  })
  .refine(value => Object.keys(value).length > 0, {
    error: 'a table with at least one setting',
  });

export const settingNames = Object.keys(settings.shape) as readonly Exclude<
  keyof documents.PolicySettings,
  symbol
>[];

const values = listOf(labelValue, 1, 1_000);

/** Selectors that test one label, in the form of the published document. */
export const labelSelector = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('in'), label: labelName, values}),
  z.strictObject({kind: z.literal('notIn'), label: labelName, values}),
  z.strictObject({kind: z.literal('exists'), label: labelName}),
]);

const NOT_A_SELECTOR =
  'a selector with the kind in, notIn, exists, not, and or or';

/** Any selector in the form of the document; callers must limit the depth. */
export const selector: z.ZodType<documents.Selector> = z.lazy(() =>
  z.discriminatedUnion(
    'kind',
    [
      labelSelector,
      z.strictObject({kind: z.literal('not'), operand: selector}),
      z.strictObject({
        kind: z.literal('and'),
        operands: listOf(selector, 1, 100),
      }),
      z.strictObject({
        kind: z.literal('or'),
        operands: listOf(selector, 1, 100),
      }),
    ],
    {error: NOT_A_SELECTOR},
  ),
);

export const policy = z.strictObject({
  name,
  precedence: wholeNumber(-1_000_000, 1_000_000, ''),
  selector,
  settings,
});

export const revision = wholeNumber(1, Number.MAX_SAFE_INTEGER, '');

/** Returns the value at a path of own properties, or undefined. */
export function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root;
  for (const segment of path) {
    if (typeof value !== 'object' || value === null) return undefined;
    if (!Object.hasOwn(value, segment)) return undefined;
    value = (value as Record<PropertyKey, unknown>)[segment];
  }
  return value;
}
