import type * as runtime from '@camphorwharf/runtime';

/** Average number of lines per second for decisions on single requests. */
const LINES_PER_SECOND = 20;

/** Number of lines that may be logged in one burst. */
const BURST_LINES = 80;

/**
 * Logs decisions on single requests at a limited rate, so that an overload of
 * the system does not overload the log. Omitted lines are counted, and the next
 * logged line states their number.
 */
export class RequestLogger {
  private tokens = BURST_LINES;
  private updatedMs: number;
  private omitted = 0;

  constructor(
    private readonly logger: runtime.Logger,
    private readonly metrics: runtime.Metrics,
    private readonly clock: runtime.Clock,
  ) {
    this.updatedMs = clock.monotonicMs();
  }

  log(event: string, fields: runtime.LogFields): void {
    const nowMs = this.clock.monotonicMs();
    this.tokens = Math.min(
      BURST_LINES,
      this.tokens + ((nowMs - this.updatedMs) * LINES_PER_SECOND) / 1_000,
    );
    this.updatedMs = nowMs;
    if (this.tokens < 1) {
      this.omitted++;
      this.metrics.count(
        'log_lines_omitted_total',
        'Log lines on single requests that were left out to bound the log.',
      );
      return;
    }
    this.tokens -= 1;
    const omitted = this.omitted;
    this.omitted = 0;
    this.logger.info(event, omitted > 0 ? {...fields, omitted} : fields);
  }
}
