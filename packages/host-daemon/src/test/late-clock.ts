import * as runtime from '@camphorwharf/runtime';

/** A clock whose delays end late, one after the other. */
export class LateClock extends runtime.ManualClock {
  private turn = 0;

  constructor(
    private readonly lagsMs: readonly number[],
    private readonly stop: runtime.CancelSource,
  ) {
    super();
  }

  override async delay(milliseconds: number): Promise<void> {
    await this.advance(milliseconds + this.lagsMs[this.turn]);
    this.turn++;
    if (this.turn === this.lagsMs.length) this.stop.abort();
  }
}
