import * as schema from './schema.js';

const isMember = schema.objectOf([
  ['hostId', schema.isString],
  ['incarnation', schema.isString],
]);
const isView = schema.objectOf([
  [
    'identity',
    schema.objectOf([
      ['number', schema.isUint],
      ['proposer', schema.isString],
    ]),
  ],
  ['members', schema.arrayOf(isMember)],
]);
const isTimestamp: schema.Predicate = value => Number.isFinite(value);

/** Schemas of control requests by kind. */
export const requestSchemas: ReadonlyMap<string, schema.Schema> = new Map<
  string,
  schema.Schema
>([
  [
    'viewPing',
    [
      ['cell', schema.isString],
      ['from', isMember],
      ['view', schema.nullable(isView)],
      ['active', schema.isBoolean],
    ],
  ],
  [
    'grant',
    [
      ['organisation', schema.isString],
      ['holder', isMember],
      ['tokens', schema.isNonNegative],
      ['spent', schema.isNonNegative],
      ['sequence', schema.isUint],
    ],
  ],
  [
    'grantReturn',
    [
      ['organisation', schema.isString],
      ['holder', isMember],
      ['spent', schema.isNonNegative],
      ['unspent', schema.isNonNegative],
      ['sequence', schema.isUint],
    ],
  ],
  [
    'bucketHandOver',
    [
      ['cell', schema.isString],
      [
        'buckets',
        schema.arrayOf(
          schema.objectOf([
            ['organisation', schema.isString],
            ['tokens', schema.isFiniteNumber],
          ]),
        ),
      ],
    ],
  ],
  [
    'keyClaim',
    [
      ['organisation', schema.isString],
      ['idempotencyKey', schema.isString],
      ['payloadDigest', schema.isString],
      ['requestId', schema.isString],
    ],
  ],
  [
    'keySettle',
    [
      ['organisation', schema.isString],
      ['idempotencyKey', schema.isString],
      ['requestId', schema.isString],
      [
        'result',
        schema.discriminatedUnion(
          new Map<string, schema.Schema>([
            ['completed', [['status', schema.isUint]]],
            ['notRun', []],
            ['unknown', []],
          ]),
        ),
      ],
    ],
  ],
  [
    'keyHandOver',
    [
      ['cell', schema.isString],
      ['coveredSinceMs', isTimestamp],
      [
        'records',
        schema.arrayOf(
          schema.objectOf([
            ['organisation', schema.isString],
            ['idempotencyKey', schema.isString],
            ['payloadDigest', schema.isString],
            ['requestId', schema.isString],
            ['status', schema.nullable(schema.isUint)],
          ]),
        ),
      ],
    ],
  ],
  [
    'cancelIfNotStarted',
    [
      ['requestId', schema.isString],
      ['attempt', schema.isUint],
      ['incarnation', schema.isString],
      ['sentAfterMs', schema.optional(schema.isUint)],
    ],
  ],
  [
    'configurationDigest',
    [
      ['revision', schema.isUint],
      ['digest', schema.isString],
    ],
  ],
  [
    'configurationPush',
    [
      ['revision', schema.isUint],
      ['document', schema.isString],
    ],
  ],
  ['leaving', [['hostId', schema.isString]]],
  ['status', []],
]);

/** Schemas of control replies by kind. */
export const replySchemas: ReadonlyMap<string, schema.Schema> = new Map<
  string,
  schema.Schema
>([
  [
    'viewAnswer',
    [
      ['from', isMember],
      ['adopted', schema.nullable(isView)],
      ['history', schema.arrayOf(isView)],
      ['active', schema.isBoolean],
      ['leaving', schema.isBoolean],
    ],
  ],
  [
    'grantAnswer',
    [
      ['tokens', schema.isNonNegative],
      ['retryAfterMs', schema.isNonNegative],
    ],
  ],
  [
    'keyAnswer',
    [
      [
        'verdict',
        schema.discriminatedUnion(
          new Map<string, schema.Schema>([
            ['claimed', []],
            ['inProgress', []],
            ['completed', [['status', schema.isUint]]],
            ['payloadDiffers', []],
            ['olderThanOwner', []],
            ['invalid', []],
            ['tableFull', []],
          ]),
        ),
      ],
    ],
  ],
  [
    'cancelAnswer',
    [
      [
        'verdict',
        schema.oneOf('neverStarts', 'started', 'unknown', 'otherIncarnation'),
      ],
    ],
  ],
  [
    'configurationAnswer',
    [
      ['revision', schema.isUint],
      ['digest', schema.isString],
      ['document', schema.nullable(schema.isString)],
    ],
  ],
  ['statusAnswer', [['status', schema.isRecord]]],
  ['acknowledged', []],
  ['notOwner', []],
  ['unsupported', []],
]);
