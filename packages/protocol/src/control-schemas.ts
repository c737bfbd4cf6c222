import * as schema from './schema.js';

const isMember = schema.fieldsOf([
  ['hostId', schema.isText],
  ['incarnation', schema.isText],
]);
const isView = schema.fieldsOf([
  [
    'identity',
    schema.fieldsOf([
      ['number', schema.isCount],
      ['proposer', schema.isText],
    ]),
  ],
  ['members', schema.listOf(isMember)],
]);
const isWallTime: schema.Check = value => Number.isFinite(value);

/** Shapes of control requests by kind. */
export const requestShapes: ReadonlyMap<string, schema.Shape> = new Map<
  string,
  schema.Shape
>([
  [
    'viewPing',
    [
      ['cell', schema.isText],
      ['from', isMember],
      ['view', schema.nullable(isView)],
      ['active', schema.isBoolean],
    ],
  ],
  [
    'grant',
    [
      ['organisation', schema.isText],
      ['holder', isMember],
      ['tokens', schema.isAmount],
      ['spent', schema.isAmount],
      ['sequence', schema.isCount],
    ],
  ],
  [
    'grantReturn',
    [
      ['organisation', schema.isText],
      ['holder', isMember],
      ['spent', schema.isAmount],
      ['unspent', schema.isAmount],
      ['sequence', schema.isCount],
    ],
  ],
  [
    'bucketHandOver',
    [
      ['cell', schema.isText],
      [
        'buckets',
        schema.listOf(
          schema.fieldsOf([
            ['organisation', schema.isText],
            ['tokens', schema.isFinite],
          ]),
        ),
      ],
    ],
  ],
  [
    'keyClaim',
    [
      ['organisation', schema.isText],
      ['idempotencyKey', schema.isText],
      ['payloadDigest', schema.isText],
      ['requestId', schema.isText],
    ],
  ],
  [
    'keySettle',
    [
      ['organisation', schema.isText],
      ['idempotencyKey', schema.isText],
      ['requestId', schema.isText],
      [
        'result',
        schema.unionOf(
          new Map<string, schema.Shape>([
            ['completed', [['status', schema.isCount]]],
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
      ['cell', schema.isText],
      ['coveredSinceMs', isWallTime],
      [
        'records',
        schema.listOf(
          schema.fieldsOf([
            ['organisation', schema.isText],
            ['idempotencyKey', schema.isText],
            ['payloadDigest', schema.isText],
            ['requestId', schema.isText],
            ['status', schema.nullable(schema.isCount)],
          ]),
        ),
      ],
    ],
  ],
  [
    'cancelIfNotStarted',
    [
      ['requestId', schema.isText],
      ['attempt', schema.isCount],
      ['incarnation', schema.isText],
    ],
  ],
  [
    'configurationDigest',
    [
      ['revision', schema.isCount],
      ['digest', schema.isText],
    ],
  ],
  [
    'configurationPush',
    [
      ['revision', schema.isCount],
      ['document', schema.isText],
    ],
  ],
  ['leaving', [['hostId', schema.isText]]],
  ['status', []],
]);

/** Shapes of control replies by kind. */
export const replyShapes: ReadonlyMap<string, schema.Shape> = new Map<
  string,
  schema.Shape
>([
  [
    'viewAnswer',
    [
      ['from', isMember],
      ['adopted', schema.nullable(isView)],
      ['history', schema.listOf(isView)],
      ['active', schema.isBoolean],
      ['leaving', schema.isBoolean],
    ],
  ],
  [
    'grantAnswer',
    [
      ['tokens', schema.isAmount],
      ['retryAfterMs', schema.isAmount],
    ],
  ],
  [
    'keyAnswer',
    [
      [
        'verdict',
        schema.unionOf(
          new Map<string, schema.Shape>([
            ['claimed', []],
            ['inProgress', []],
            ['completed', [['status', schema.isCount]]],
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
    [['verdict', schema.oneOf('neverStarts', 'started', 'otherIncarnation')]],
  ],
  [
    'configurationAnswer',
    [
      ['revision', schema.isCount],
      ['digest', schema.isText],
      ['document', schema.nullable(schema.isText)],
    ],
  ],
  ['statusAnswer', [['status', schema.isFields]]],
  ['acknowledged', []],
  ['notOwner', []],
  ['unsupported', []],
]);
