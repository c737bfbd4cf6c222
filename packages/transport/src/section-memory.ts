/** A connection whose client may have begun a section and not ended it. */
export interface SectionHolder {
  /** Closes the connection to free its memory. */
  closeForMemory(): void;
}

/**
 * Bounds the memory of the sections, headers and trailers, that clients have
 * begun and not ended. At the limit, the connection that holds the most closes,
 * so that clients that send ordinary requests in parts keep theirs.
 */
export class SectionMemory {
  private usedBytes = 0;
  private readonly holders = new Map<SectionHolder, number>();

  constructor(readonly limitBytes: number) {}

  /** Memory of all unfinished sections. */
  get bytes(): number {
    return this.usedBytes;
  }

  /** Sets what a connection holds, and closes others or it at the limit. */
  set(holder: SectionHolder, bytes: number): void {
    this.usedBytes += bytes - (this.holders.get(holder) ?? 0);
    if (bytes === 0) this.holders.delete(holder);
    else this.holders.set(holder, bytes);
    while (this.usedBytes > this.limitBytes && this.closeLargest());
  }

  /** Returns false if no connection holds anything. */
  private closeLargest(): boolean {
    let largest: SectionHolder | null = null;
    let largestBytes = 0;
    for (const [holder, bytes] of this.holders) {
      if (bytes > largestBytes) [largest, largestBytes] = [holder, bytes];
    }
    if (!largest) return false;
    this.holders.delete(largest);
    this.usedBytes -= largestBytes;
    largest.closeForMemory();
    return true;
  }
}
