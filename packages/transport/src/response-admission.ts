import type * as undici from 'undici';
import type * as responseMemory from './response-memory.js';

/** The admission of one response to the memory for responses. */
export class ResponseAdmission {
  private admittedBytes = 0;
  /** Null unless the response waits. */
  private withdraw: (() => void) | null = null;

  constructor(private readonly memory: responseMemory.ResponseMemory) {}

  /** Pauses reading until the response has been admitted. */
  admit(controller: undici.Dispatcher.DispatchController, bytes: number): void {
    const withdraw = this.memory.admit(bytes, () => {
      this.withdraw = null;
      this.admittedBytes = bytes;
      controller.resume();
    });
    if (withdraw === null) {
      this.admittedBytes = bytes;
      return;
    }
    this.withdraw = withdraw;
    controller.pause();
  }

  /** Whoever holds the response from now on counts it again. */
  release(): void {
    this.withdraw?.();
    this.withdraw = null;
    if (this.admittedBytes > 0) this.memory.release(this.admittedBytes);
    this.admittedBytes = 0;
  }
}
