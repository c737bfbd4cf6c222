/**
 * The answer of a daemon's `GET /status` as far as this package shows it.
 * Members that the daemon leaves out are null.
 */
export interface DaemonStatus {
  readonly hostId: string | null;
  readonly service: string | null;
  readonly availabilityZone: string | null;
  /** Revision of the document in force; null before the first one. */
  readonly revision: number | null;
  /** SHA-256 digest of the document in force. */
  readonly digest: string | null;
  readonly cell: string | null;
  /** Adopted view of the cell, and whether the daemon acts under it. */
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

type Table = Readonly<Record<string, unknown>>;

/** Reads a status; null when the text is not one (no revision in force). */
export function parseDaemonStatus(text: string): DaemonStatus | null {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    return null;
  }
  const status = tableOrNull(raw);
  if (status === null) return null;
  const revision = status['revision'];
  if (revision !== null && !Number.isSafeInteger(revision)) return null;
  const view = tableOrNull(status['view']);
  const limits = tableOrNull(status['limits']) ?? {};
  const threshold = tableOrNull(status['sheddingThreshold']);
  return {
    hostId: textOrNull(status['hostId']),
    service: textOrNull(status['service']),
    availabilityZone: textOrNull(status['availabilityZone']),
    revision: revision as number | null,
    digest: textOrNull(status['digest']),
    cell: textOrNull(status['cell']),
    view: view && {
      number: numberOrNull(view['number']),
      proposer: textOrNull(view['proposer']),
      active: flagOrNull(view['active']),
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
    leaving: flagOrNull(status['leaving']),
  };
}

function tableOrNull(value: unknown): Table | null {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
    ? (value as Table)
    : null;
}
function textOrNull(value: unknown): string | null {
  return typeof value === 'string' ? value : null;
}
function numberOrNull(value: unknown): number | null {
  return typeof value === 'number' ? value : null;
}
function flagOrNull(value: unknown): boolean | null {
  return typeof value === 'boolean' ? value : null;
}
