import * as shape from './shape.js';

const isMember = shape.fieldsOf([
  ['hostId', shape.isText],
  ['incarnation', shape.isText],
]);
const isView = shape.fieldsOf([
  [
    'identity',
    shape.fieldsOf([
      ['number', shape.isCount],
      ['proposer', shape.isText],
    ]),
  ],
  ['members', shape.listOf(isMember)],
]);
const isWallTime: shape.Check = value => Number.isFinite(value);

/** Shapes of control requests by kind. */
export const requestShapes: ReadonlyMap<string, shape.Shape> = new Map<
  string,
  shape.Shape
>([
  [
    'viewPing',
    [
      ['cell', shape.isText],
      ['from', isMember],
      ['view', shape.nullable(isView)],
      ['active', shape.isBoolean],
    ],
  ],
  [
    'grant',
    [
      ['organisation', shape.isText],
      ['holder', isMember],
      ['tokens', shape.isAmount],
      ['spent', shape.isAmount],
      ['sequence', shape.isCount],
    ],
  ],
  [
    'grantReturn',
    [
      ['organisation', shape.isText],
      ['holder', isMember],
      ['spent', shape.isAmount],
      ['unspent', shape.isAmount],
      ['sequence', shape.isCount],
    ],
  ],
  [
    'bucketHandOver',
    [
      ['cell', shape.isText],
      [
        'buckets',
        shape.listOf(
          shape.fieldsOf([
            ['organisation', shape.isText],
            ['tokens', shape.isFinite],
          ]),
        ),
      ],
    ],
  ],
  [
    'keyClaim',
    [
      ['organisation', shape.isText],
      ['idempotencyKey', shape.isText],
      ['payloadDigest', shape.isText],
      ['requestId', shape.isText],
    ],
  ],
  [
    'keySettle',
    [
      ['organisation', shape.isText],
      ['idempotencyKey', shape.isText],
      ['requestId', shape.isText],
      [
        'result',
        shape.unionOf(
          new Map<string, shape.Shape>([
            ['completed', [['status', shape.isCount]]],
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
      ['cell', shape.isText],
      ['coveredSinceMs', isWallTime],
      [
        'records',
        shape.listOf(
          shape.fieldsOf([
            ['organisation', shape.isText],
            ['idempotencyKey', shape.isText],
            ['payloadDigest', shape.isText],
            ['requestId', shape.isText],
            ['status', shape.nullable(shape.isCount)],
          ]),
        ),
      ],
    ],
  ],
  [
    'cancelIfNotStarted',
    [
      ['requestId', shape.isText],
      ['attempt', shape.isCount],
      ['incarnation', shape.isText],
    ],
  ],
  [
    'configurationDigest',
    [
      ['revision', shape.isCount],
      ['digest', shape.isText],
    ],
  ],
  [
    'configurationPush',
    [
      ['revision', shape.isCount],
      ['document', shape.isText],
    ],
  ],
  ['leaving', [['hostId', shape.isText]]],
  ['status', []],
]);

/** Shapes of control replies by kind. */
export const replyShapes: ReadonlyMap<string, shape.Shape> = new Map<
  string,
  shape.Shape
>([
  [
    'viewAnswer',
    [
      ['from', isMember],
      ['adopted', shape.nullable(isView)],
      ['history', shape.listOf(isView)],
      ['active', shape.isBoolean],
      ['leaving', shape.isBoolean],
    ],
  ],
  [
    'grantAnswer',
    [
      ['tokens', shape.isAmount],
      ['retryAfterMs', shape.isAmount],
    ],
  ],
  [
    'keyAnswer',
    [
      [
        'verdict',
        shape.unionOf(
          new Map<string, shape.Shape>([
            ['claimed', []],
            ['inProgress', []],
            ['completed', [['status', shape.isCount]]],
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
    [['verdict', shape.oneOf('neverStarts', 'started', 'otherIncarnation')]],
  ],
  [
    'configurationAnswer',
    [
      ['revision', shape.isCount],
      ['digest', shape.isText],
      ['document', shape.nullable(shape.isText)],
    ],
  ],
  ['statusAnswer', [['status', shape.isFields]]],
  ['acknowledged', []],
  ['notOwner', []],
  ['unsupported', []],
]);
