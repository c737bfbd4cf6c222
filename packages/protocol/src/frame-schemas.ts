import * as outcomes from './outcomes.js';
import * as schema from './schema.js';

/** Twice the 32 organisations of a threshold, to allow for later versions. */
const MAXIMUM_RANK_ENTRIES = 64;

const isHeaderList = schema.arrayOf(
  value =>
    Array.isArray(value) &&
    value.length === 2 &&
    typeof value[0] === 'string' &&
    typeof value[1] === 'string',
);
const isImportance = schema.oneOf(0, 1, 2, 3);
const isRank: schema.Predicate = value =>
  schema.isNonNegative(value) && Number(value) < 1;
const isStatus: schema.Predicate = value =>
  schema.isUint(value) && Number(value) >= 200 && Number(value) <= 999;
/** Absent, or a bounded map of ranks by organisation. */
const isRankMap: schema.Predicate = value =>
  value === undefined ||
  (typeof value === 'object' &&
    value !== null &&
    Object.keys(value).length <= MAXIMUM_RANK_ENTRIES &&
    Object.values(value).every(schema.isNonNegative));
const isThreshold = schema.nullable(
  schema.objectOf([
    ['importance', isImportance],
    ['rank', schema.isNonNegative],
    ['organisations', isRankMap],
  ]),
);
const isContext = schema.objectOf([
  ['requestId', schema.isString],
  ['organisation', schema.nullable(schema.isString)],
  ['importance', isImportance],
  ['rank', isRank],
  ['remainingMs', schema.isFiniteNumber],
  ['retries', schema.isUint],
  ['depth', schema.isUint],
  ['idempotent', schema.isBoolean],
  ['idempotencyKey', schema.nullable(schema.isString)],
]);
const isPermission = schema.objectOf([
  ['heartbeatNumber', schema.isUint],
  ['elapsedMs', schema.isNonNegative],
  ['remainingMs', schema.isFiniteNumber],
]);

const isLoad = schema.objectOf([
  ['running', schema.isUint],
  ['waiting', schema.isUint],
  ['slots', schema.isUint],
  ['busyShare', schema.optional(schema.isNonNegative)],
  ['pressure', schema.optional(schema.isNonNegative)],
  ['downstreamPressure', schema.optional(schema.isNonNegative)],
  ['coldRemainingMs', schema.optional(schema.isNonNegative)],
  ['startsPerSecond', schema.optional(schema.isNonNegative)],
  ['queuedWorkMs', schema.optional(schema.isNonNegative)],
  ['speed', schema.optional(schema.isNonNegative)],
  ['runMs', schema.optional(schema.isNonNegative)],
  ['ownPressure', schema.optional(schema.isNonNegative)],
  ['slotPressure', schema.optional(schema.isNonNegative)],
  ['poorShare', schema.optional(schema.isNonNegative)],
]);

const outcomeFields: schema.Schema = [
  ['unspentRetries', schema.isUint],
  ['threshold', isThreshold],
];

/** Schemas of all frames except `request` and `reply`, by kind. */
export const frameSchemas: ReadonlyMap<string, schema.Schema> = new Map<
  string,
  schema.Schema
>([
  [
    'hello',
    [
      ['versionMinimum', schema.isUint],
      ['versionMaximum', schema.isUint],
      ['hostId', schema.isString],
      ['incarnation', schema.isString],
      ['service', schema.isString],
      ['availabilityZone', schema.isString],
      ['clockMs', schema.optional(schema.isUint)],
    ],
  ],
  [
    'heartbeat',
    [
      ['number', schema.isUint],
      ['acknowledged', schema.isUint],
      ['clockMs', schema.optional(schema.isUint)],
    ],
  ],
  [
    'call',
    [
      ['call', schema.isUint],
      ['attempt', schema.isUint],
      ['service', schema.isString],
      ['method', schema.isString],
      ['path', schema.isString],
      ['headers', isHeaderList],
      ['contentLength', schema.nullable(schema.isUint)],
      ['hasBody', schema.isBoolean],
      ['context', isContext],
      ['permission', isPermission],
      ['wholeBody', schema.optional(schema.isBytes)],
      ['instance', schema.optional(schema.isString)],
      ['callerService', schema.optional(schema.isString)],
      ['objectiveMs', schema.optional(schema.isNonNegative)],
      ['nested', schema.optional(schema.isBoolean)],
    ],
  ],
  [
    'callBody',
    [
      ['call', schema.isUint],
      ['chunk', schema.isBytes],
      ['last', schema.isBoolean],
      ['totalBytes', schema.isUint],
    ],
  ],
  [
    'callCredit',
    [
      ['call', schema.isUint],
      ['bytes', schema.isUint],
    ],
  ],
  [
    'answerHead',
    [
      ['call', schema.isUint],
      ['attempt', schema.isUint],
      ['status', isStatus],
      ['headers', isHeaderList],
      ['contentLength', schema.nullable(schema.isUint)],
    ],
  ],
  [
    'wholeAnswer',
    [
      ['call', schema.isUint],
      ['attempt', schema.isUint],
      ['status', isStatus],
      ['headers', isHeaderList],
      ['body', schema.isBytes],
      ['load', schema.optional(isLoad)],
      ...outcomeFields,
    ],
  ],
  [
    'answerBody',
    [
      ['call', schema.isUint],
      ['chunk', schema.isBytes],
    ],
  ],
  [
    'answerEnd',
    [['call', schema.isUint], ['totalBytes', schema.isUint], ...outcomeFields],
  ],
  [
    'refusal',
    [
      ['call', schema.isUint],
      ['reason', schema.keyOf(outcomes.RefusalReason)],
      ['final', schema.isBoolean],
      ['load', schema.optional(isLoad)],
      ['retryAfterMs', schema.optional(schema.isNonNegative)],
      ['byServer', schema.optional(schema.isBoolean)],
      ...outcomeFields,
    ],
  ],
  [
    'unknownOutcome',
    [
      ['call', schema.isUint],
      ['reason', schema.keyOf(outcomes.UnknownReason)],
      ...outcomeFields,
    ],
  ],
  ['cancel', [['call', schema.isUint]]],
  ['report', [['report', schema.isRecord]]],
]);
