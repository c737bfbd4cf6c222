/** The subset of `AbortSignal` that code on the path of a call uses. */
export interface CancelSignal {
  readonly aborted: boolean;
  addEventListener(type: 'abort', listener: () => void): void;
  removeEventListener(type: 'abort', listener: () => void): void;
}

/**
 * Cancels one call. Much cheaper than an `AbortController`, of which each call
 * would allocate several.
 */
export class CancelSource implements CancelSignal {
  private isAborted = false;
  private listeners: Array<() => void> = [];

  get aborted(): boolean {
    return this.isAborted;
  }

  addEventListener(_type: 'abort', listener: () => void): void {
    this.listeners.push(listener);
  }

  removeEventListener(_type: 'abort', listener: () => void): void {
    const index = this.listeners.indexOf(listener);
    if (index >= 0) this.listeners.splice(index, 1);
  }

  abort(): void {
    if (this.isAborted) return;
    this.isAborted = true;
    const {listeners} = this;
    this.listeners = [];
    for (const listener of listeners) listener();
  }
}
