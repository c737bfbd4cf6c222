import type * as bodyMemory from './body-memory.js';

/** Maximum size of a block into which chunks are copied. */
const MAXIMUM_BLOCK_BYTES = 64 * 1024;

/** Smaller chunks are copied, unless they are the first of a body. */
const MINIMUM_KEPT_CHUNK_BYTES = 16 * 1024;

/**
 * A chunk is a view of a buffer that stays in memory as a whole. It is copied
 * if it leaves more of that buffer unused.
 */
const MAXIMUM_UNUSED_BYTES = 4 * 1024;

/**
 * Collects the chunks of a body. Its memory is at most twice the payload plus a
 * constant, whatever the size of the chunks: an object for each chunk of one
 * byte, or the read buffer that the chunk is a view of, would take hundreds of
 * times the payload.
 */
export class BodyBuffer {
  private blocks: Uint8Array[] = [];
  /** Number of bytes in the last block. */
  private lastBlockLength = 0;
  private totalBytes = 0;

  /**
   * `reservation` accounts for the allocated memory; null for none. No more is
   * allocated than `declaredBytes`, the length of the body if it is known. With
   * a length and no reservation the whole length is allocated at once, so that
   * the body is never copied.
   */
  constructor(
    private readonly reservation: bodyMemory.MemoryReservation | null,
    private readonly declaredBytes: number | null = null,
  ) {}

  /** Number of bytes collected and not taken. */
  get length(): number {
    return this.totalBytes;
  }

  /** Returns false when the reservation is refused; the body must then fail. */
  append(chunk: Uint8Array): boolean {
    if (this.totalBytes === 0 && this.reservation === null) this.allocateAll();
    const copiedBytes = this.fillLastBlock(chunk);
    this.totalBytes += copiedBytes;
    if (copiedBytes === chunk.length) return true;
    const rest = copiedBytes === 0 ? chunk : chunk.subarray(copiedBytes);
    return this.isWorthKeeping(rest) ? this.keep(rest) : this.copy(rest);
  }

  /** Returns the bytes from a position on, which stay in the buffer. */
  bytesFrom(start: number): Uint8Array {
    const parts: Uint8Array[] = [];
    let position = 0;
    for (const block of this.filledBlocks()) {
      const end = position + block.length;
      if (end > start) {
        parts.push(block.subarray(Math.max(0, start - position)));
      }
      position = end;
    }
    return parts.length === 1 ? parts[0] : Buffer.concat(parts);
  }

  /** Removes and returns all bytes. They no longer count as reserved. */
  take(): Uint8Array {
    const bytes = this.bytesFrom(0);
    this.clear();
    return bytes;
  }

  /** Removes all bytes and returns them as UTF-8 text. */
  takeText(): string {
    const {buffer, byteOffset, length} = this.take();
    return Buffer.from(buffer, byteOffset, length).toString('utf8');
  }

  /** Discards all bytes and releases their reservation. */
  clear(): void {
    this.blocks = [];
    this.lastBlockLength = 0;
    this.totalBytes = 0;
    this.reservation?.release();
  }

  private allocateAll(): void {
    if (!this.declaredBytes || this.blocks.length > 0) return;
    this.blocks.push(Buffer.allocUnsafeSlow(this.declaredBytes));
  }

  private filledBlocks(): Uint8Array[] {
    const last = this.blocks.length - 1;
    return this.blocks.map((block, index) =>
      index === last ? block.subarray(0, this.lastBlockLength) : block,
    );
  }

  /** Returns the number of bytes copied into the unused part of the block. */
  private fillLastBlock(chunk: Uint8Array): number {
    const block = this.blocks.at(-1);
    if (!block) return 0;
    const freeBytes = block.length - this.lastBlockLength;
    if (freeBytes === 0) return 0;
    const part =
      chunk.length <= freeBytes ? chunk : chunk.subarray(0, freeBytes);
    block.set(part, this.lastBlockLength);
    this.lastBlockLength += part.length;
    return part.length;
  }

  private isWorthKeeping(chunk: Uint8Array): boolean {
    const isLarge = chunk.length >= MINIMUM_KEPT_CHUNK_BYTES;
    const unusedBytes = chunk.buffer.byteLength - chunk.length;
    return (
      (isLarge || this.totalBytes === 0) && unusedBytes <= MAXIMUM_UNUSED_BYTES
    );
  }

  private keep(chunk: Uint8Array): boolean {
    if (!this.reserve(chunk.length)) return false;
    this.addBlock(chunk, chunk.length);
    return true;
  }

  /** Copies a chunk into a new block, which doubles the memory at most. */
  private copy(chunk: Uint8Array): boolean {
    const expectedBytes = (this.declaredBytes ?? Infinity) - this.totalBytes;
    const size = Math.max(
      chunk.length,
      Math.min(this.totalBytes, MAXIMUM_BLOCK_BYTES, expectedBytes),
    );
    if (!this.reserve(size)) return false;
    const block = Buffer.allocUnsafeSlow(size);
    block.set(chunk);
    this.addBlock(block, chunk.length);
    return true;
  }

  private addBlock(block: Uint8Array, length: number): void {
    this.blocks.push(block);
    this.lastBlockLength = length;
    this.totalBytes += length;
  }

  private reserve(bytes: number): boolean {
    return this.reservation === null || this.reservation.tryGrow(bytes);
  }
}
