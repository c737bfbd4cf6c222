import type * as clock from './clock.js';
import type * as logger from './logger.js';

/** Average number of lines per second. */
const LINES_PER_SECOND = 2;

/** Number of lines that may be logged in one burst. */
const BURST_LINES = 20;

/**
 * Logs events that clients outside the operator's control can cause, at a
 * limited rate. The next line states how many were omitted.
 */
export class BoundedLog {
  private tokens = BURST_LINES;
  private omitted = 0;
  private updatedMs: number;

  constructor(
    private readonly logger: Pick<logger.Logger, 'info'>,
    private readonly clock: Pick<clock.Clock, 'monotonicMs'>,
  ) {
    this.updatedMs = clock.monotonicMs();
  }

  info(event: string, fields: logger.LogFields): void {
    const nowMs = this.clock.monotonicMs();
    const elapsedMs = nowMs - this.updatedMs;
    this.updatedMs = nowMs;
    this.tokens = Math.min(
      BURST_LINES,
      this.tokens + (elapsedMs * LINES_PER_SECOND) / 1_000,
    );
    if (this.tokens < 1) {
      this.omitted++;
      return;
    }
    this.tokens -= 1;
    const {omitted} = this;
    this.omitted = 0;
    this.logger.info(event, omitted > 0 ? {...fields, omitted} : fields);
  }
}
