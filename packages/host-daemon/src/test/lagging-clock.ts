import * as runtime from '@camphorwharf/runtime';

/** A clock whose successive delays each take longer by one of the lags. */
export class LaggingClock extends runtime.ManualClock {
  private index = 0;

  constructor(
    private readonly lagsMs: readonly number[],
    private readonly stop: runtime.CancelSource,
  ) {
    super();
  }

  override async delay(milliseconds: number): Promise<void> {
    await this.advance(milliseconds + this.lagsMs[this.index]);
    this.index++;
    if (this.index === this.lagsMs.length) this.stop.abort();
  }
}
