import * as runtime from '@camphorwharf/runtime';

/** Default limit for the buffered bytes of all bodies of a process. */
const DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024;

/**
 * Bounds the memory of all bodies that a process buffers. When the limit is
 * reached, the body that holds the most fails, so that one endless body does
 * not fail the others.
 */
export class BodyMemory {
  private usedBytes = 0;
  private failures = 0;
  private readonly reservations = new Set<MemoryReservation>();

  constructor(private readonly limitBytes = DEFAULT_LIMIT_BYTES) {}

  /** Bytes that all bodies hold together. */
  get bytes(): number {
    return this.usedBytes;
  }

  /** Number of bodies that failed because the limit was reached. */
  get failedBodies(): number {
    return this.failures;
  }

  /**
   * Starts the reservation of one body. `onEvicted` is called when the body
   * must fail because others need its memory; null if it cannot fail any more.
   */
  open(onEvicted: ((error: Error) => void) | null): MemoryReservation {
    return new MemoryReservation(this, onEvicted);
  }

  /**
   * Reserves more memory for a body. Returns false, and reserves nothing, if
   * the body would hold more than any other one and the limit is reached.
   */
  tryGrow(reservation: MemoryReservation, bytes: number): boolean {
    const wantedBytes = reservation.bytes + bytes;
    while (this.usedBytes + bytes > this.limitBytes) {
      const largest = this.largestOther(reservation);
      this.failures++;
      if (!largest || largest.bytes <= wantedBytes) return false;
      largest.evict();
    }
    this.usedBytes += bytes;
    this.reservations.add(reservation);
    return true;
  }

  release(reservation: MemoryReservation): void {
    if (!this.reservations.delete(reservation)) return;
    this.usedBytes -= reservation.bytes;
  }

  private largestOther(
    reservation: MemoryReservation,
  ): MemoryReservation | null {
    let largest: MemoryReservation | null = null;
    for (const other of this.reservations) {
      if (other === reservation || !other.isEvictable) continue;
      if (!largest || other.bytes > largest.bytes) largest = other;
    }
    return largest;
  }
}

/** The memory that one body holds. */
export class MemoryReservation {
  private heldBytes = 0;

  constructor(
    private readonly memory: BodyMemory,
    private readonly onEvicted: ((error: Error) => void) | null,
  ) {}

  get isEvictable(): boolean {
    return this.onEvicted !== null;
  }

  get bytes(): number {
    return this.heldBytes;
  }

  /** Returns false, and reserves nothing, when the body must fail. */
  tryGrow(bytes: number): boolean {
    if (!this.memory.tryGrow(this, bytes)) return false;
    this.heldBytes += bytes;
    return true;
  }

  release(): void {
    this.memory.release(this);
    this.heldBytes = 0;
  }

  evict(): void {
    this.onEvicted?.(memoryError());
    this.release();
  }
}

/** The error of a body that fails for lack of memory. */
export function memoryError(): Error {
  return new runtime.ConnectionError(
    'Bodies in transit use all the memory set aside for them, and this one ' +
      'holds the most. Send fewer or shorter bodies at once, and check whether ' +
      'one of them is endless.',
  );
}
