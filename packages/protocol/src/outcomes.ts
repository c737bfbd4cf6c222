/** How the reason of a failed call is presented to the caller. */
export interface ReasonDefinition {
  readonly httpStatus: number;
  /** Value of the retry-after header; null if a retry cannot succeed. */
  readonly retryAfterSeconds: number | null;
  /** One sentence in the answer that tells the caller what to do. */
  readonly advice: string;
  /** Whether the calling daemon may retry on another target. */
  readonly retryable: boolean;
}

/** Reasons for refusing calls that have not run and never will. */
export const RefusalReason = {
  keyMissing: defineReason(
    401,
    null,
    'Present a key in the authorization header.',
  ),
  keyMalformed: defineReason(
    400,
    null,
    'Send one authorization header of the form "Bearer KEY".',
  ),
  keyUnknown: defineReason(
    401,
    null,
    'Use a key that the operator has granted and not revoked.',
  ),
  routeUnknown: defineReason(
    404,
    null,
    'Use a service and path that the declaration names.',
  ),
  headerInvalid: defineReason(
    400,
    null,
    'Remove repeated or oversized headers.',
  ),
  handleUnknown: defineReason(
    401,
    null,
    'Send the handle of a call that is still running on this host.',
  ),
  depthExceeded: defineReason(
    508,
    null,
    'Shorten the call chain to at most 14 hops.',
  ),
  limitExceeded: defineReason(429, 1, 'Slow down to the agreed rate.'),
  limitUnavailable: defineReason(
    503,
    1,
    'Try again; the owner of the limit cannot be reached.',
  ),
  keyOwnerUnavailable: defineReason(
    503,
    1,
    'Try again with the same idempotency key.',
  ),
  idempotencyKeyInvalid: defineReason(
    400,
    null,
    'Use EPOCH_MS-RANDOM with the present time.',
  ),
  idempotencyKeyReused: defineReason(
    422,
    null,
    'Use a new idempotency key for a different payload.',
  ),
  overloaded: defineReason(
    503,
    1,
    'Try again later; calls of higher importance go first.',
    true,
  ),
  queueFull: defineReason(503, 1, 'Try again later.', true),
  deadlineTooShort: defineReason(504, null, 'Allow more time for the call.'),
  deadlineExpired: defineReason(504, null, 'Allow more time for the call.'),
  targetLeaving: defineReason(503, 1, 'Try again.', true),
  targetUnavailable: defineReason(503, 1, 'Try again.', true),
  noTarget: defineReason(
    503,
    1,
    'Try again; no target of the service is live.',
  ),
  cancelled: defineReason(
    499,
    null,
    'The caller cancelled before the call started.',
  ),
  permissionExpired: defineReason(503, 1, 'Try again.', true),
  documentMissing: defineReason(
    503,
    1,
    'Try again; no configuration has been read yet.',
  ),
  configurationStale: defineReason(
    503,
    1,
    'Try again; the platform was not heard for some seconds, and a change may ' +
      'allow the request.',
  ),
} as const satisfies Readonly<Record<string, ReasonDefinition>>;
export type RefusalReasonName = keyof typeof RefusalReason;

/** Reasons for unknown outcomes: the call may or may not have run. */
export const UnknownReason = {
  answerLost: defineReason(
    504,
    null,
    'Repeat with the same idempotency key, or look the result up.',
  ),
  answerTruncated: defineReason(
    502,
    null,
    'Repeat with the same idempotency key, or look the result up.',
  ),
  deadlineDuringRun: defineReason(
    504,
    null,
    'Repeat with the same idempotency key, or look the result up.',
  ),
  duplicateRequest: defineReason(
    409,
    null,
    'An earlier send with this key was accepted; look its result up.',
  ),
  keyOlderThanOwner: defineReason(
    409,
    null,
    'An earlier send may have run; look its result up before a new key is used.',
  ),
  backendServerFailed: defineReason(
    502,
    null,
    'Repeat with the same idempotency key, or look the result up.',
  ),
} as const satisfies Readonly<Record<string, ReasonDefinition>>;
export type UnknownReasonName = keyof typeof UnknownReason;

function defineReason(
  httpStatus: number,
  retryAfterSeconds: number | null,
  advice: string,
  retryable = false,
): ReasonDefinition {
  return {httpStatus, retryAfterSeconds, advice, retryable};
}
