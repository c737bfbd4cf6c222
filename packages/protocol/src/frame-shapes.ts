import * as outcomes from './outcomes.js';
import * as shape from './shape.js';

/** A threshold names at most 32 organisations; twice that for later versions. */
const MAXIMUM_RANK_ENTRIES = 64;

const isHeaderList = shape.listOf(
  value =>
    Array.isArray(value) &&
    value.length === 2 &&
    typeof value[0] === 'string' &&
    typeof value[1] === 'string',
);
const isImportance = shape.oneOf(0, 1, 2, 3);
const isRank: shape.Check = value => shape.isAmount(value) && Number(value) < 1;
const isStatus: shape.Check = value =>
  shape.isCount(value) && Number(value) >= 200 && Number(value) <= 999;
/** Absent, or a bounded table of ranks by organisation. */
const isRankTable: shape.Check = value =>
  value === undefined ||
  (typeof value === 'object' &&
    value !== null &&
    Object.keys(value).length <= MAXIMUM_RANK_ENTRIES &&
    Object.values(value).every(shape.isAmount));
const isThreshold = shape.nullable(
  shape.fieldsOf([
    ['importance', isImportance],
    ['rank', shape.isAmount],
    ['organisations', isRankTable],
  ]),
);
const isContext = shape.fieldsOf([
  ['requestId', shape.isText],
  ['organisation', shape.nullable(shape.isText)],
  ['importance', isImportance],
  ['rank', isRank],
  ['remainingMs', shape.isFinite],
  ['retries', shape.isCount],
  ['depth', shape.isCount],
  ['idempotent', shape.isBoolean],
  ['idempotencyKey', shape.nullable(shape.isText)],
]);
const isPermission = shape.fieldsOf([
  ['heartbeatNumber', shape.isCount],
  ['elapsedMs', shape.isAmount],
  ['remainingMs', shape.isFinite],
]);

const optional = (check: shape.Check): shape.Check => {
  return value => value === undefined || check(value);
};
const isLoad = shape.fieldsOf([
  ['running', shape.isCount],
  ['waiting', shape.isCount],
  ['slots', shape.isCount],
  ['busyShare', optional(shape.isAmount)],
  ['pressure', optional(shape.isAmount)],
  ['downstreamPressure', optional(shape.isAmount)],
]);

const trailer: shape.Shape = [
  ['unspentRetries', shape.isCount],
  ['threshold', isThreshold],
];

/** Shapes of all frames but `request` and `reply`, by kind. */
export const frameShapes: ReadonlyMap<string, shape.Shape> = new Map<
  string,
  shape.Shape
>([
  [
    'hello',
    [
      ['versionMinimum', shape.isCount],
      ['versionMaximum', shape.isCount],
      ['hostId', shape.isText],
      ['incarnation', shape.isText],
      ['service', shape.isText],
      ['availabilityZone', shape.isText],
    ],
  ],
  [
    'heartbeat',
    [
      ['number', shape.isCount],
      ['acknowledged', shape.isCount],
    ],
  ],
  [
    'call',
    [
      ['call', shape.isCount],
      ['attempt', shape.isCount],
      ['service', shape.isText],
      ['method', shape.isText],
      ['path', shape.isText],
      ['headers', isHeaderList],
      ['contentLength', shape.nullable(shape.isCount)],
      ['hasBody', shape.isBoolean],
      ['context', isContext],
      ['permission', isPermission],
      ['wholeBody', optional(shape.isBytes)],
      ['instance', optional(shape.isText)],
      ['callerService', optional(shape.isText)],
      ['objectiveMs', optional(shape.isAmount)],
      ['nested', optional(shape.isBoolean)],
    ],
  ],
  [
    'callBody',
    [
      ['call', shape.isCount],
      ['chunk', shape.isBytes],
      ['last', shape.isBoolean],
      ['totalBytes', shape.isCount],
    ],
  ],
  [
    'callCredit',
    [
      ['call', shape.isCount],
      ['bytes', shape.isCount],
    ],
  ],
  [
    'answerHead',
    [
      ['call', shape.isCount],
      ['attempt', shape.isCount],
      ['status', isStatus],
      ['headers', isHeaderList],
      ['contentLength', shape.nullable(shape.isCount)],
    ],
  ],
  [
    'wholeAnswer',
    [
      ['call', shape.isCount],
      ['attempt', shape.isCount],
      ['status', isStatus],
      ['headers', isHeaderList],
      ['body', shape.isBytes],
      ['load', optional(isLoad)],
      ...trailer,
    ],
  ],
  [
    'answerBody',
    [
      ['call', shape.isCount],
      ['chunk', shape.isBytes],
    ],
  ],
  [
    'answerEnd',
    [['call', shape.isCount], ['totalBytes', shape.isCount], ...trailer],
  ],
  [
    'refusal',
    [
      ['call', shape.isCount],
      ['reason', shape.nameOf(outcomes.RefusalReason)],
      ['final', shape.isBoolean],
      ['load', optional(isLoad)],
      ['retryAfterMs', optional(shape.isAmount)],
      ['byServer', optional(shape.isBoolean)],
      ...trailer,
    ],
  ],
  [
    'unknownOutcome',
    [
      ['call', shape.isCount],
      ['reason', shape.nameOf(outcomes.UnknownReason)],
      ...trailer,
    ],
  ],
  ['cancel', [['call', shape.isCount]]],
  ['report', [['report', shape.isFields]]],
]);
