/**
 * Part of the limit that responses which can be sent at once may hold beside
 * those that wait for earlier ones.
 */
const SENDABLE_RATIO = 0.25;

/** The position of a response among those of its client connection. */
export interface ResponseTurn {
  /** Whether it is the next to be sent, so that it waits for no other. */
  readonly isNext: boolean;
}

/** A response that waits for memory. */
interface Waiter {
  readonly bytes: number;
  readonly turn: ResponseTurn | null;
  readonly onGranted: () => void;
}

/**
 * Bounds the memory of the responses that a process holds. A response whose
 * length is declared is admitted before its body is read, in order of arrival;
 * reading waits until then.
 *
 * Pipelined responses that wait for an earlier one of their connection free
 * their memory only after that one. If they fill the memory, the next response
 * of a connection is admitted before others, and up to a quarter above the
 * limit, because all would wait for ever otherwise.
 */
export class ResponseMemory {
  private usedBytes = 0;
  private waitingBytes = 0;
  private blockedBytes = 0;
  private readonly waiters = new Set<Waiter>();
  private isGrantScheduled = false;

  constructor(readonly limitBytes: number) {}

  /** Bytes of admitted responses. */
  get bytes(): number {
    return this.usedBytes;
  }

  /** Whether admitted and waiting responses reach the limit. */
  get isFull(): boolean {
    return this.usedBytes + this.waitingBytes >= this.limitBytes;
  }

  /** Bytes of responses that wait for memory. */
  get bytesWaiting(): number {
    return this.waitingBytes;
  }

  /** Number of responses that wait for memory. */
  get waitingCount(): number {
    return this.waiters.size;
  }

  /** Counts a response that is in memory already. */
  add(bytes: number): void {
    this.usedBytes += bytes;
  }

  /** Counts a response that waits for earlier ones of its connection. */
  addBlocked(bytes: number): void {
    this.usedBytes += bytes;
    this.blockedBytes += bytes;
  }

  /** Counts a blocked response as one that can be sent at once. */
  unblock(bytes: number): void {
    this.blockedBytes -= bytes;
  }

  /** The turn of a response has changed, which may be one that waits. */
  noteTurn(): void {
    if (this.waiters.size > 0) this.scheduleGrants();
  }

  /**
   * Counts a response if it fits, or else calls `onGranted` once it does.
   * Returns a function that withdraws the response while it waits, or null if
   * it has been counted. A response above the limit fits when no other is held.
   */
  admit(
    bytes: number,
    onGranted: () => void,
    turn: ResponseTurn | null = null,
  ): (() => void) | null {
    const isFitting = this.waiters.size === 0 && this.fits(bytes);
    if (isFitting || (turn?.isNext && this.fitsBesideBlocked(bytes))) {
      this.usedBytes += bytes;
      return null;
    }
    const waiter = {bytes, onGranted, turn};
    this.waiters.add(waiter);
    this.waitingBytes += bytes;
    return () => {
      if (!this.waiters.delete(waiter)) return;
      this.waitingBytes -= bytes;
      this.scheduleGrants();
    };
  }

  release(bytes: number): void {
    this.usedBytes -= bytes;
    if (this.waiters.size > 0) this.scheduleGrants();
  }

  private fits(bytes: number): boolean {
    return this.usedBytes === 0 || this.usedBytes + bytes <= this.limitBytes;
  }

  /** Whether a response fits that is the next of its connection. */
  private fitsBesideBlocked(bytes: number): boolean {
    if (this.blockedBytes === 0) return false;
    const sendableBytes = this.usedBytes - this.blockedBytes;
    return (
      sendableBytes === 0 ||
      sendableBytes + bytes <= this.limitBytes * SENDABLE_RATIO
    );
  }

  /**
   * Grants in a later iteration of the event loop, because a response that is
   * passed on is released and counted again by its next holder.
   */
  private scheduleGrants(): void {
    if (this.isGrantScheduled) return;
    this.isGrantScheduled = true;
    setImmediate(() => {
      this.isGrantScheduled = false;
      this.grant();
    });
  }

  private grant(): void {
    let isInOrder = true;
    for (const waiter of this.waiters) {
      isInOrder &&= this.fits(waiter.bytes);
      if (!isInOrder) {
        if (this.blockedBytes === 0) return;
        const isNext = waiter.turn?.isNext ?? false;
        if (!isNext || !this.fitsBesideBlocked(waiter.bytes)) continue;
      }
      this.waiters.delete(waiter);
      this.waitingBytes -= waiter.bytes;
      this.usedBytes += waiter.bytes;
      waiter.onGranted();
    }
  }
}
