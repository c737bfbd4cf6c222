/** Importance classes; a lower number is shed later. */
export const Importance = {
  critical: 0,
  high: 1,
  normal: 2,
  low: 3,
} as const;
export type ImportanceClass = (typeof Importance)[keyof typeof Importance];

/** The longest call chain that is served. */
export const MAXIMUM_DEPTH = 14;

/** What travels with a call between daemons; never accepted from outside. */
export interface CallContext {
  readonly requestId: string;
  /** Null on routes that are open to all. */
  readonly organisation: string | null;
  readonly importance: ImportanceClass;
  /** In [0, 1); the same at each service of the chain; low ranks are kept. */
  readonly rank: number;
  /** Time left until the deadline, in milliseconds, when the frame was sent. */
  readonly remainingMs: number;
  /** Retries that this call and its descendants may still spend. */
  readonly retries: number;
  /** 1 for a call from the entry daemon. */
  readonly depth: number;
  readonly idempotent: boolean;
  readonly idempotencyKey: string | null;
}

/**
 * Calls of a numerically higher class are refused, and calls of the same
 * class whose rank is at or above `rank`.
 */
export interface SheddingThreshold {
  readonly importance: ImportanceClass;
  readonly rank: number;
  /**
   * Ranks of organisations that differ from the rest, by name ("" for calls
   * of no organisation), so that an organisation over its share is shed first.
   */
  readonly organisations?: Readonly<Record<string, number>>;
}

/** Reports whether a call with this class and rank passes the threshold. */
export function passesThreshold(
  call: Pick<CallContext, 'importance' | 'rank'>,
  threshold: SheddingThreshold,
): boolean {
  if (call.importance !== threshold.importance) {
    return call.importance < threshold.importance;
  }
  return call.rank < threshold.rank;
}
