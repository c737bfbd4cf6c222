import type * as runtime from '@camphorwharf/runtime';

/**
 * Lines on requests that may run once have a budget of their own: they are rare
 * and explain a request that ran twice, and a storm of refusals must not hide
 * them.
 */
export type LineBudget = 'general' | 'runsOnce';

/** Average number of lines per second for decisions on single requests. */
const LINES_PER_SECOND = 20;

/** Number of lines that may be logged in one burst. */
const BURST_LINES = 80;

interface BudgetState {
  tokens: number;
  updatedMs: number;
  omitted: number;
}

/** Returns the budget for a line that explains an attempt of a request. */
export function attemptBudget(request: {
  readonly idempotent: boolean;
}): LineBudget {
  return request.idempotent ? 'general' : 'runsOnce';
}

/**
 * Logs decisions on single requests at a limited rate, so that an overload of
 * the system does not overload the log. Omitted lines are counted, and the next
 * line of the same budget states their number.
 */
export class RequestLogger {
  private readonly budgets: Readonly<Record<LineBudget, BudgetState>>;

  constructor(
    private readonly logger: runtime.Logger,
    private readonly metrics: runtime.Metrics,
    private readonly clock: runtime.Clock,
  ) {
    const updatedMs = clock.monotonicMs();
    const full = {tokens: BURST_LINES, updatedMs, omitted: 0};
    this.budgets = {general: {...full}, runsOnce: {...full}};
  }

  log(
    event: string,
    fields: runtime.LogFields,
    budget: LineBudget = 'general',
  ): void {
    const state = this.budgets[budget];
    const nowMs = this.clock.monotonicMs();
    state.tokens = Math.min(
      BURST_LINES,
      state.tokens + ((nowMs - state.updatedMs) * LINES_PER_SECOND) / 1_000,
    );
    state.updatedMs = nowMs;
    if (state.tokens < 1) {
      state.omitted++;
      this.metrics.count(
        'log_lines_omitted_total',
        'Log lines on single requests that were left out to bound the log.',
        {budget},
      );
      return;
    }
    state.tokens -= 1;
    const {omitted} = state;
    state.omitted = 0;
    this.logger.info(event, omitted > 0 ? {...fields, omitted} : fields);
  }
}
