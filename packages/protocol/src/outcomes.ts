/** How a refusal reaches the caller. */
export interface ReasonAdvice {
  readonly httpStatus: number;
  /** Seconds for the retry-after header; null when a repeat cannot help. */
  readonly retryAfterSeconds: number | null;
  /** One sentence that tells the caller what to do. */
  readonly advice: string;
  /** Whether the daemon directly above may try again on another target. */
  readonly retryable: boolean;
}

/** Reasons for refusals of calls that did not run and never will. */
export const RefusalReason = {
  keyMissing: advise(401, null, 'Present a key in the authorization header.'),
  keyMalformed: advise(
    400,
    null,
    'Send one authorization header of the form "Bearer KEY".',
  ),
  keyUnknown: advise(
    401,
    null,
    'Use a key that the operator has granted and not revoked.',
  ),
  routeUnknown: advise(
    404,
    null,
    'Use a service and path that the declaration names.',
  ),
  headerInvalid: advise(400, null, 'Remove repeated or oversized headers.'),
  handleUnknown: advise(
    401,
    null,
    'Send the handle of a call that is still running on this host.',
  ),
  depthExceeded: advise(
    508,
    null,
    'Shorten the call chain to at most 14 hops.',
  ),
  limitExceeded: advise(429, 1, 'Slow down to the agreed rate.'),
  limitUnavailable: advise(
    503,
    1,
    'Try again; the owner of the limit cannot be reached.',
  ),
  keyOwnerUnavailable: advise(
    503,
    1,
    'Try again with the same idempotency key.',
  ),
  idempotencyKeyInvalid: advise(
    400,
    null,
    'Use EPOCH_MS-RANDOM with the present time.',
  ),
  idempotencyKeyReused: advise(
    422,
    null,
    'Use a new idempotency key for a different payload.',
  ),
  overloaded: advise(
    503,
    1,
    'Try again later; calls of higher importance go first.',
    true,
  ),
  queueFull: advise(503, 1, 'Try again later.', true),
  deadlineTooShort: advise(504, null, 'Allow more time for the call.'),
  deadlineExpired: advise(504, null, 'Allow more time for the call.'),
  targetLeaving: advise(503, 1, 'Try again.', true),
  targetUnavailable: advise(503, 1, 'Try again.', true),
  noTarget: advise(503, 1, 'Try again; no target of the service is live.'),
  cancelled: advise(499, null, 'The caller cancelled before the call started.'),
  permissionExpired: advise(503, 1, 'Try again.', true),
  documentMissing: advise(
    503,
    1,
    'Try again; no configuration has been read yet.',
  ),
  configurationStale: advise(
    503,
    1,
    'Try again; the platform was not heard for some seconds, and a change may ' +
      'allow the request.',
  ),
} as const satisfies Readonly<Record<string, ReasonAdvice>>;
export type RefusalReasonName = keyof typeof RefusalReason;

/** Reasons for outcomes where the call may or may not have run. */
export const UnknownReason = {
  answerLost: advise(
    504,
    null,
    'Repeat with the same idempotency key, or look the result up.',
  ),
  answerTruncated: advise(
    502,
    null,
    'Repeat with the same idempotency key, or look the result up.',
  ),
  deadlineDuringRun: advise(
    504,
    null,
    'Repeat with the same idempotency key, or look the result up.',
  ),
  duplicateRequest: advise(
    409,
    null,
    'An earlier send with this key was accepted; look its result up.',
  ),
  keyOlderThanOwner: advise(
    409,
    null,
    'An earlier send may have run; look its result up before a new key is used.',
  ),
  backendServerFailed: advise(
    502,
    null,
    'Repeat with the same idempotency key, or look the result up.',
  ),
} as const satisfies Readonly<Record<string, ReasonAdvice>>;
export type UnknownReasonName = keyof typeof UnknownReason;

function advise(
  httpStatus: number,
  retryAfterSeconds: number | null,
  advice: string,
  retryable = false,
): ReasonAdvice {
  return {httpStatus, retryAfterSeconds, advice, retryable};
}
