import type * as runtime from '@camphorwharf/runtime';

/** Lines a second that decisions on single requests may take. */
const LINES_PER_SECOND = 20;

/** Lines that may follow each other at once. */
const BURST_LINES = 80;

/**
 * Logs decisions on single requests at a bounded rate, so that an overload
 * does not also become an overload of the log. Lines that were left out are
 * counted and stated in the next one.
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
