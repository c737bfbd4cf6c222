import type * as runtime from '@camphorwharf/runtime';

/** An abort signal that fires when the parent does or after a timeout. */
export class DeadlineSignal {
  private readonly controller = new AbortController();
  private readonly timer = new AbortController();
  expired = false;

  constructor(
    clock: runtime.Clock,
    private readonly parent: AbortSignal,
    timeoutMs: number,
  ) {
    if (parent.aborted) this.controller.abort();
    parent.addEventListener('abort', this.abort, {once: true});
    void clock.delay(timeoutMs, this.timer.signal).then(() => {
      if (this.timer.signal.aborted) return;
      this.expired = true;
      this.abort();
    });
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  dispose(): void {
    this.timer.abort();
    this.parent.removeEventListener('abort', this.abort);
  }

  private readonly abort = () => this.controller.abort();
}
