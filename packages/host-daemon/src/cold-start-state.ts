/** Why the local backend server may be cold. */
export type ColdCause =
  | 'daemonStarted'
  | 'limitConfigured'
  | 'newInstance'
  /** The instance has another start time. */
  | 'restarted'
  | 'connectionLost'
  /** The zone has returned to service after an evacuation. */
  | 'zoneReturned'
  /** This process stood still and may have missed anything else. */
  | 'standstill'
  /** The platform's entry has a remaining cold time. */
  | 'listed'
  | 'healthCheck';

/** The platform's entry for the local backend server. */
export interface ListedServer {
  readonly instance: string;
  readonly startedAtMs: number | null;
  /** End of the cold time, by the monotonic clock; changes with each entry. */
  readonly coldUntilMs: number;
}

/** What the response to a health check says. */
export interface HealthReport {
  readonly instance: string | null;
  /** Whether the status is one of success. */
  readonly succeeded: boolean;
  /** Null if the response has no valid cold time. */
  readonly coldRemainingMs: number | null;
}

export type CheckVerdict =
  | 'warm'
  | 'cold'
  /** The check began before the last event, so it does not show the server warm. */
  | 'outdated'
  | 'withoutColdTime'
  | 'failed';

/**
 * Time that an entry must add to the cold time to extend it. Entries arrive up
 * to this late, and a check shows the cold time more precisely.
 */
const ENTRY_TOLERANCE_MS = 500;

/**
 * What is known of the local backend server's cold start. After an event that
 * may have made it cold, the server is unknown, and treated as cold, until a
 * health check that began later shows otherwise, or for the whole duration of a
 * cold start.
 */
export class ColdStartState {
  private durationMs = 0;
  private endMs = -Infinity;
  private shown = false;
  private eventMs = -Infinity;
  private entry: ListedServer | null = null;
  private checkedInstance: string | null = null;

  /** The end of the cold time; in the past if the server is warm. */
  get coldUntilMs(): number {
    return this.endMs;
  }

  /** Whether an entry or a health check has shown the cold time. */
  get isShown(): boolean {
    return this.shown;
  }

  get instance(): string | null {
    return this.entry?.instance ?? this.checkedInstance;
  }

  /** Sets the duration of a cold start. */
  setDuration(durationMs: number): void {
    this.durationMs = durationMs;
  }

  /** Records an event, at `eventMs`, that may have made the server cold. */
  noteEvent(eventMs: number, nowMs: number): void {
    this.eventMs = Math.max(this.eventMs, eventMs);
    this.endMs = Math.max(this.endMs, nowMs + this.durationMs);
    this.shown = false;
  }

  /** Forgets all cold time. */
  clear(): void {
    this.endMs = -Infinity;
  }

  /** Returns why the server has to be checked, or null. */
  noteEntry(entry: ListedServer, nowMs: number): ColdCause | null {
    const previous = this.entry;
    const isNew =
      previous?.instance !== entry.instance ||
      previous.coldUntilMs !== entry.coldUntilMs;
    this.entry = entry;
    const cause = this.changeSince(previous, entry);
    if (cause) this.noteEvent(nowMs, nowMs);
    const isExtended =
      isNew &&
      entry.coldUntilMs > nowMs &&
      entry.coldUntilMs > this.endMs + ENTRY_TOLERANCE_MS;
    if (!isExtended) return cause;
    this.endMs = entry.coldUntilMs;
    this.shown = true;
    return cause ?? 'listed';
  }

  /** Applies the response to a check that began at `startedMs`. */
  noteCheck(
    report: HealthReport | null,
    startedMs: number,
    nowMs: number,
  ): CheckVerdict {
    if (!report || report.instance === null) return 'failed';
    const remainingMs =
      report.coldRemainingMs ??
      (this.isWarmWithoutTime(report, nowMs) ? 0 : null);
    if (remainingMs === null) return 'withoutColdTime';
    const isOutdated = startedMs < this.eventMs;
    if (remainingMs <= 0 && isOutdated) return 'outdated';
    this.checkedInstance = report.instance;
    if (remainingMs <= 0) {
      this.endMs = -Infinity;
      return 'warm';
    }
    const endMs = nowMs + remainingMs;
    this.endMs = isOutdated ? Math.max(this.endMs, endMs) : endMs;
    this.shown ||= !isOutdated;
    return 'cold';
  }

  private changeSince(
    previous: ListedServer | null,
    entry: ListedServer,
  ): ColdCause | null {
    const instance = previous?.instance ?? this.checkedInstance;
    if (instance === null) return null;
    if (instance !== entry.instance) return 'newInstance';
    const startedAtMs = previous?.startedAtMs ?? null;
    return startedAtMs !== null &&
      entry.startedAtMs !== null &&
      startedAtMs !== entry.startedAtMs
      ? 'restarted'
      : null;
  }

  /**
   * Whether a successful response without a cold time comes from a warm server.
   * The header is left out by a warm server; an entry that says otherwise is
   * believed until its time is over.
   */
  private isWarmWithoutTime(report: HealthReport, nowMs: number): boolean {
    const {entry} = this;
    return (
      report.succeeded &&
      entry !== null &&
      entry.instance === report.instance &&
      entry.coldUntilMs <= nowMs
    );
  }
}
