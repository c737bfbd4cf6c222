import * as outcomes from './outcomes.js';
import * as schema from './schema.js';

/** A threshold names at most 32 organisations; twice that for later versions. */
const MAXIMUM_RANK_ENTRIES = 64;

const isHeaderList = schema.listOf(
  value =>
    Array.isArray(value) &&
    value.length === 2 &&
    typeof value[0] === 'string' &&
    typeof value[1] === 'string',
);
const isImportance = schema.oneOf(0, 1, 2, 3);
const isRank: schema.Check = value =>
  schema.isAmount(value) && Number(value) < 1;
const isStatus: schema.Check = value =>
  schema.isCount(value) && Number(value) >= 200 && Number(value) <= 999;
/** Absent, or a bounded table of ranks by organisation. */
const isRankTable: schema.Check = value =>
  value === undefined ||
  (typeof value === 'object' &&
    value !== null &&
    Object.keys(value).length <= MAXIMUM_RANK_ENTRIES &&
    Object.values(value).every(schema.isAmount));
const isThreshold = schema.nullable(
  schema.fieldsOf([
    ['importance', isImportance],
    ['rank', schema.isAmount],
    ['organisations', isRankTable],
  ]),
);
const isContext = schema.fieldsOf([
  ['requestId', schema.isText],
  ['organisation', schema.nullable(schema.isText)],
  ['importance', isImportance],
  ['rank', isRank],
  ['remainingMs', schema.isFinite],
  ['retries', schema.isCount],
  ['depth', schema.isCount],
  ['idempotent', schema.isBoolean],
  ['idempotencyKey', schema.nullable(schema.isText)],
]);
const isPermission = schema.fieldsOf([
  ['heartbeatNumber', schema.isCount],
  ['elapsedMs', schema.isAmount],
  ['remainingMs', schema.isFinite],
]);

const optional = (check: schema.Check): schema.Check => {
  return value => value === undefined || check(value);
};
const isLoad = schema.fieldsOf([
  ['running', schema.isCount],
  ['waiting', schema.isCount],
  ['slots', schema.isCount],
  ['busyShare', optional(schema.isAmount)],
  ['pressure', optional(schema.isAmount)],
  ['downstreamPressure', optional(schema.isAmount)],
]);

const trailer: schema.Shape = [
  ['unspentRetries', schema.isCount],
  ['threshold', isThreshold],
];

/** Shapes of all frames but `request` and `reply`, by kind. */
export const frameShapes: ReadonlyMap<string, schema.Shape> = new Map<
  string,
  schema.Shape
>([
  [
    'hello',
    [
      ['versionMinimum', schema.isCount],
      ['versionMaximum', schema.isCount],
      ['hostId', schema.isText],
      ['incarnation', schema.isText],
      ['service', schema.isText],
      ['availabilityZone', schema.isText],
    ],
  ],
  [
    'heartbeat',
    [
      ['number', schema.isCount],
      ['acknowledged', schema.isCount],
    ],
  ],
  [
    'call',
    [
      ['call', schema.isCount],
      ['attempt', schema.isCount],
      ['service', schema.isText],
      ['method', schema.isText],
      ['path', schema.isText],
      ['headers', isHeaderList],
      ['contentLength', schema.nullable(schema.isCount)],
      ['hasBody', schema.isBoolean],
      ['context', isContext],
      ['permission', isPermission],
      ['wholeBody', optional(schema.isBytes)],
      ['instance', optional(schema.isText)],
      ['callerService', optional(schema.isText)],
      ['objectiveMs', optional(schema.isAmount)],
      ['nested', optional(schema.isBoolean)],
    ],
  ],
  [
    'callBody',
    [
      ['call', schema.isCount],
      ['chunk', schema.isBytes],
      ['last', schema.isBoolean],
      ['totalBytes', schema.isCount],
    ],
  ],
  [
    'callCredit',
    [
      ['call', schema.isCount],
      ['bytes', schema.isCount],
    ],
  ],
  [
    'answerHead',
    [
      ['call', schema.isCount],
      ['attempt', schema.isCount],
      ['status', isStatus],
      ['headers', isHeaderList],
      ['contentLength', schema.nullable(schema.isCount)],
    ],
  ],
  [
    'wholeAnswer',
    [
      ['call', schema.isCount],
      ['attempt', schema.isCount],
      ['status', isStatus],
      ['headers', isHeaderList],
      ['body', schema.isBytes],
      ['load', optional(isLoad)],
      ...trailer,
    ],
  ],
  [
    'answerBody',
    [
      ['call', schema.isCount],
      ['chunk', schema.isBytes],
    ],
  ],
  [
    'answerEnd',
    [['call', schema.isCount], ['totalBytes', schema.isCount], ...trailer],
  ],
  [
    'refusal',
    [
      ['call', schema.isCount],
      ['reason', schema.nameOf(outcomes.RefusalReason)],
      ['final', schema.isBoolean],
      ['load', optional(isLoad)],
      ['retryAfterMs', optional(schema.isAmount)],
      ['byServer', optional(schema.isBoolean)],
      ...trailer,
    ],
  ],
  [
    'unknownOutcome',
    [
      ['call', schema.isCount],
      ['reason', schema.nameOf(outcomes.UnknownReason)],
      ...trailer,
    ],
  ],
  ['cancel', [['call', schema.isCount]]],
  ['report', [['report', schema.isFields]]],
]);
