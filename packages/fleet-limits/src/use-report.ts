/** A lower demand is reported as none, in requests per second. */
const NEGLIGIBLE_DEMAND = 0.25;

/** Use of one organisation's limit, as reported by one process. */
export interface UseReport {
  readonly organisation: string;
  /** Number of requests granted since the process started. */
  readonly used: number;
  /** Requests attempted per second. */
  readonly demand: number;
  /** Tokens in the sender's copy of the bucket. */
  readonly level: number;
}

/** The uses that one process reports to another. */
export interface UsesReport {
  readonly uses: readonly UseReport[];
  /**
   * Whether an organisation that is not in `uses` has not been used by the
   * reporting process. Otherwise only what has changed is reported.
   */
  readonly isComplete: boolean;
}

/** What is known of the use of an organisation by another process. */
export interface ReportedUse {
  used: number;
  demand: number;
  /** Served time of the bucket when the use was last reported. */
  servedTime: number;
  /** Use since the last report that was debited as an estimate. */
  estimatedUse: number;
}

/** Another process and its uses, by organisation. */
export interface Reporter {
  readonly incarnation: string;
  readonly uses: Map<string, ReportedUse>;
  /** Whether organisations that are not in `uses` are known to be unused. */
  hasReportedAll: boolean;
  /**
   * Time since which the host has been silent and is assumed to use an equal
   * share; null while it reports.
   */
  silentSinceMs: number | null;
}

/** The use of an organisation that has not been used before. */
export function unusedUntil(servedTime: number): ReportedUse {
  return {used: 0, demand: 0, servedTime, estimatedUse: 0};
}

/** Returns the demand in the form in which it is reported. */
export function reportableDemand(requestsPerSecond: number): number {
  if (requestsPerSecond < NEGLIGIBLE_DEMAND) return 0;
  return Math.round(requestsPerSecond * 100) / 100;
}
