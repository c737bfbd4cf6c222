/**
 * Tokens of a route, in successes. With fewer, chance would refuse a route whose
 * probability of success is above the threshold.
 */
const CAPACITY_SUCCESSES = 3;

/**
 * A refused route has a trial request after this time, in milliseconds. The
 * service is well again after the time of one run and at most this delay.
 */
const TRIAL_INTERVAL_MS = 1_000;

/**
 * The same if the trials of the service go to more important routes. Shorter
 * than the lifetime of results, so that a trial confirms the refusals in time.
 */
const LATE_TRIAL_INTERVAL_MS = 4_000;

/** Trial requests per second of all refused routes, by refusing service. */
const TRIALS_PER_SECOND = 2;
const MAXIMUM_TRIAL_TOKENS = 2;

/** Without a failure for this long, a route is admitted entirely. */
const RESULT_LIFETIME_MS = 10_000;

/** Weight of one result in the reported probability of success. */
const RESULT_WEIGHT = 0.05;

/** Bound of the table; beyond it all entries are forgotten. */
const MAXIMUM_ROUTES = 1_024;

export interface SuccessRequest {
  readonly route: string;
  /** 0 is the most important. */
  readonly priority: number;
}

/** How a request was admitted, for `SuccessAdmission.noteEnd`. */
export type StartKind =
  /** Its route is not refused. */
  | 'regular'
  /** An earlier success of its refused route paid for it. */
  | 'paid'
  /** It tries whether its route succeeds again. */
  | 'trial';

export type SuccessDecision =
  | {readonly kind: 'admit'; readonly start: StartKind}
  | {
      readonly kind: 'refuse';
      /** The service that refused a nested call most recently. */
      readonly service: string;
      readonly probability: number;
    };

export type RequestEnd =
  | {readonly kind: 'succeeded'}
  /** It failed after work had begun, as a service refused a nested call. */
  | {readonly kind: 'failedBelow'; readonly service: string}
  /** It did not run, or failed for a reason that refusals would not remove. */
  | {readonly kind: 'other'};

interface RouteEntry {
  readonly route: string;
  tokens: number;
  isRefused: boolean;
  probability: number;
  service: string;
  priority: number;
  arrivedMs: number;
  triedMs: number;
  failedMs: number;
}

interface TrialBudget {
  tokens: number;
  updatedMs: number;
}

/**
 * Refuses requests without a chance of success where they enter. A service may
 * refuse a part of its calls whatever the load, and a request that needs
 * several of them then rarely succeeds.
 *
 * Each success pays for as many starts as the inverse of the threshold, so that
 * a route is refused if its probability of success stays below the threshold,
 * and its trial requests multiply as soon as it is above. A probability without
 * this feedback would need many trials until it has recovered.
 */
export class SuccessAdmission {
  private readonly entries = new Map<string, RouteEntry>();
  private readonly trials = new Map<string, TrialBudget>();
  /** Starts that one success pays for. */
  private readonly startsPerSuccess: number;
  private readonly capacity: number;

  /** `minimumSuccess` is a probability above 0. */
  constructor(minimumSuccess: number) {
    this.startsPerSuccess = 1 / minimumSuccess;
    this.capacity = CAPACITY_SUCCESSES * this.startsPerSuccess;
  }

  decide({priority, route}: SuccessRequest, nowMs: number): SuccessDecision {
    const entry = this.currentEntry(route, nowMs);
    if (!entry?.isRefused) return {kind: 'admit', start: 'regular'};
    entry.priority = priority;
    entry.arrivedMs = nowMs;
    if (entry.tokens >= 1) {
      entry.tokens--;
      return {kind: 'admit', start: 'paid'};
    }
    if (this.mayTry(entry, nowMs)) return {kind: 'admit', start: 'trial'};
    const {probability, service} = entry;
    return {kind: 'refuse', service, probability};
  }

  /**
   * Returns the refusal of the requests of a route that arrive now, or null,
   * and changes nothing. A trial that is due is left out: it is one request of
   * the many that are refused.
   */
  preview(
    route: string,
    nowMs: number,
  ): (SuccessDecision & {kind: 'refuse'}) | null {
    const entry = this.entries.get(route);
    if (!entry?.isRefused || entry.tokens >= 1 || isExpired(entry, nowMs)) {
      return null;
    }
    const {probability, service} = entry;
    return {kind: 'refuse', service, probability};
  }

  /** Records the end of a request that was admitted as `start`. */
  noteEnd(
    route: string,
    start: StartKind,
    end: RequestEnd,
    nowMs: number,
  ): void {
    const entry = this.currentEntry(route, nowMs);
    switch (end.kind) {
      case 'succeeded':
        if (!entry) return;
        entry.probability += RESULT_WEIGHT * (1 - entry.probability);
        this.addTokens(
          entry,
          this.startsPerSuccess - (start === 'regular' ? 1 : 0),
        );
        return;
      case 'failedBelow': {
        const failed = entry ?? this.addEntry(route, nowMs);
        failed.probability *= 1 - RESULT_WEIGHT;
        failed.service = end.service;
        failed.failedMs = nowMs;
        if (start === 'regular') this.addTokens(failed, -1);
        return;
      }
      case 'other':
        if (entry && start === 'paid') this.addTokens(entry, 1);
        return;
    }
  }

  /** Returns 1 for a route without recent failures. */
  probabilityOf(route: string, nowMs: number): number {
    return this.currentEntry(route, nowMs)?.probability ?? 1;
  }

  private addTokens(entry: RouteEntry, tokens: number): void {
    const sum = entry.tokens + tokens;
    entry.tokens = Math.min(this.capacity, Math.max(0, sum));
    if (entry.tokens < 1) entry.isRefused = true;
    else if (entry.tokens === this.capacity) entry.isRefused = false;
  }

  private currentEntry(route: string, nowMs: number): RouteEntry | undefined {
    const entry = this.entries.get(route);
    if (!entry || !isExpired(entry, nowMs)) return entry;
    this.entries.delete(route);
    return undefined;
  }

  private addEntry(route: string, nowMs: number): RouteEntry {
    if (this.entries.size >= MAXIMUM_ROUTES) this.entries.clear();
    const entry: RouteEntry = {
      route,
      tokens: this.capacity,
      isRefused: false,
      probability: 1,
      service: '',
      priority: 0,
      arrivedMs: nowMs,
      triedMs: nowMs,
      failedMs: nowMs,
    };
    this.entries.set(route, entry);
    return entry;
  }

  /**
   * Takes a trial of the service if one is due. One is left for a more
   * important route that the service makes fail as well.
   */
  private mayTry(entry: RouteEntry, nowMs: number): boolean {
    const sinceMs = nowMs - entry.triedMs;
    if (sinceMs < TRIAL_INTERVAL_MS) return false;
    const budget = this.trialBudgetOf(entry.service, nowMs);
    const needed = 1 + this.moreImportantRoutes(entry, nowMs);
    if (budget.tokens < needed && sinceMs < LATE_TRIAL_INTERVAL_MS) {
      return false;
    }
    budget.tokens = Math.max(0, budget.tokens - 1);
    entry.triedMs = nowMs;
    return true;
  }

  /** Counts refused routes of the same service that have recent requests. */
  private moreImportantRoutes(entry: RouteEntry, nowMs: number): number {
    let count = 0;
    for (const other of this.entries.values()) {
      if (
        other.isRefused &&
        other.service === entry.service &&
        other.priority < entry.priority &&
        nowMs - other.arrivedMs < TRIAL_INTERVAL_MS
      ) {
        count++;
      }
    }
    return count;
  }

  private trialBudgetOf(service: string, nowMs: number): TrialBudget {
    let budget = this.trials.get(service);
    if (!budget) {
      if (this.trials.size >= MAXIMUM_ROUTES) this.trials.clear();
      budget = {tokens: MAXIMUM_TRIAL_TOKENS, updatedMs: nowMs};
      this.trials.set(service, budget);
    }
    const elapsedMs = Math.max(0, nowMs - budget.updatedMs);
    budget.tokens = Math.min(
      MAXIMUM_TRIAL_TOKENS,
      budget.tokens + (elapsedMs * TRIALS_PER_SECOND) / 1_000,
    );
    budget.updatedMs = nowMs;
    return budget;
  }
}

function isExpired({failedMs}: RouteEntry, nowMs: number): boolean {
  return nowMs - failedMs >= RESULT_LIFETIME_MS;
}
