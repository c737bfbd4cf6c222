import type * as runtime from '@camphorwharf/runtime';

/** Aborts when the request's own signal does or its time has passed. */
export class DeadlineSignal {
  private readonly controller = new AbortController();
  private readonly timer = new AbortController();
  expired = false;

  constructor(
    clock: runtime.Clock,
    private readonly outer: AbortSignal,
    limitMs: number,
  ) {
    if (outer.aborted) this.controller.abort();
    outer.addEventListener('abort', this.abort, {once: true});
    void clock.delay(limitMs, this.timer.signal).then(() => {
      if (this.timer.signal.aborted) return;
      this.expired = true;
      this.abort();
    });
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  release(): void {
    this.timer.abort();
    this.outer.removeEventListener('abort', this.abort);
  }

  private readonly abort = () => this.controller.abort();
}
