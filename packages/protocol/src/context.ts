/** Importance classes; classes with higher numbers are shed first. */
export const Importance = {
  critical: 0,
  high: 1,
  normal: 2,
  low: 3,
} as const;
export type ImportanceClass = (typeof Importance)[keyof typeof Importance];

/** Maximum length of a call chain. */
export const MAXIMUM_CALL_DEPTH = 14;

/** Metadata sent with a call between daemons; never accepted from callers. */
export interface CallContext {
  readonly requestId: string;
  /** Null on routes without authentication. */
  readonly organisation: string | null;
  readonly importance: ImportanceClass;
  /** In [0, 1) and equal along the call chain; high ranks are shed first. */
  readonly rank: number;
  /** Milliseconds left until the deadline when the frame was sent. */
  readonly remainingMs: number;
  /** Remaining retry budget of this call and its descendants. */
  readonly retries: number;
  /** 1 for a call from the entry daemon. */
  readonly depth: number;
  readonly idempotent: boolean;
  readonly idempotencyKey: string | null;
}

/**
 * Load shedding threshold: calls of a numerically higher class are refused,
 * and so are calls of the same class with a rank of at least `rank`.
 */
export interface SheddingThreshold {
  readonly importance: ImportanceClass;
  readonly rank: number;
  /**
   * Ranks of organisations that differ from `rank`, by name ("" for calls
   * without one), so that an organisation over its share is shed first.
   */
  readonly organisations?: Readonly<Record<string, number>>;
}

/** Whether a call with this class and rank is admitted by the threshold. */
export function passesThreshold(
  call: Pick<CallContext, 'importance' | 'rank'>,
  threshold: SheddingThreshold,
): boolean {
  if (call.importance !== threshold.importance) {
    return call.importance < threshold.importance;
  }
  return call.rank < threshold.rank;
}
