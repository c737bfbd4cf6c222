/**
 * The fields of a daemon's `GET /status` response that this package uses.
 * Fields that are missing from the response are null.
 */
export interface DaemonStatus {
  readonly hostId: string | null;
  readonly service: string | null;
  readonly availabilityZone: string | null;
  /** Revision of the document in force; null before the first document. */
  readonly revision: number | null;
  /** SHA-256 digest of the document in force. */
  readonly digest: string | null;
  readonly cell: string | null;
  /** Adopted view of the cell, and whether it is active on the daemon. */
  readonly view: {
    readonly number: number | null;
    readonly proposer: string | null;
    readonly active: boolean | null;
  } | null;
  readonly limits: {
    readonly concurrency: number | null;
    readonly queue: number | null;
  };
  readonly sheddingThreshold: {
    readonly importance: number | null;
    readonly rank: number | null;
  } | null;
  readonly inFlight: number | null;
  readonly waiting: number | null;
  readonly leaving: boolean | null;
}

type JsonObject = Readonly<Record<string, unknown>>;

/**
 * Parses a status response. Returns null when the text is not a JSON object
 * with a `revision` that is an integer or null.
 */
export function parseDaemonStatus(text: string): DaemonStatus | null {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    return null;
  }
  const status = objectOrNull(raw);
  if (status === null) return null;
  const revision = status['revision'];
  if (revision !== null && !Number.isSafeInteger(revision)) return null;
  const view = objectOrNull(status['view']);
  const limits = objectOrNull(status['limits']) ?? {};
  const threshold = objectOrNull(status['sheddingThreshold']);
  return {
    hostId: stringOrNull(status['hostId']),
    service: stringOrNull(status['service']),
    availabilityZone: stringOrNull(status['availabilityZone']),
    revision: revision as number | null,
    digest: stringOrNull(status['digest']),
    cell: stringOrNull(status['cell']),
    view: view && {
      number: numberOrNull(view['number']),
      proposer: stringOrNull(view['proposer']),
      active: booleanOrNull(view['active']),
    },
    limits: {
      concurrency: numberOrNull(limits['concurrency']),
      queue: numberOrNull(limits['queue']),
    },
    sheddingThreshold: threshold && {
      importance: numberOrNull(threshold['importance']),
      rank: numberOrNull(threshold['rank']),
    },
    inFlight: numberOrNull(status['inFlight']),
    waiting: numberOrNull(status['waiting']),
    leaving: booleanOrNull(status['leaving']),
  };
}

function objectOrNull(value: unknown): JsonObject | null {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
    ? (value as JsonObject)
    : null;
}
function stringOrNull(value: unknown): string | null {
  return typeof value === 'string' ? value : null;
}
function numberOrNull(value: unknown): number | null {
  return typeof value === 'number' ? value : null;
}
function booleanOrNull(value: unknown): boolean | null {
  return typeof value === 'boolean' ? value : null;
}
