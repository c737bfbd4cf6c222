import type * as net from 'node:net';
import type * as transport from '@camphorwharf/transport';

/** Memory of the header section of a response and its objects. */
const RESPONSE_BYTES = 1_024;

/**
 * While the responses of a connection that have not been sent hold more, its
 * further requests wait.
 */
const MAXIMUM_UNSENT_BYTES = 1024 * 1024;

/**
 * A client that takes fewer bytes than this reads too slowly for as long as the
 * memory is full. Equals one part of a body.
 */
const MINIMUM_PROGRESS_BYTES = 64 * 1024;

/**
 * The memory of the responses of one connection that wait for earlier ones, or
 * for the client to read them.
 */
export class UnsentResponses {
  private heldBytes = 0;
  /** Length of the largest recent response. */
  private typicalBytes = 1;
  /** Bytes passed to the kernel at the last check, and checks since then. */
  private sentBytes = 0;
  private checksWithoutProgress = 0;
  /** Bytes passed to the kernel, and checks, since it last took enough. */
  private sufficientBytes = 0;
  private slowCheckCount = 0;

  constructor(
    private readonly socket: net.Socket,
    private readonly memory: transport.ResponseMemory,
  ) {}

  get bytes(): number {
    return this.heldBytes;
  }

  /**
   * Returns the bytes that are held until `remove` is called with them.
   * `isNext`: the response waits for no earlier one.
   */
  add(bodyBytes: number, isNext: boolean): number {
    const bytes = bodyBytes + RESPONSE_BYTES;
    this.heldBytes += bytes;
    if (isNext) this.memory.add(bytes);
    else this.memory.addBlocked(bytes);
    this.typicalBytes = Math.max(this.typicalBytes / 2, bytes);
    return bytes;
  }

  /** A response, of 0 bytes if it has not arrived, waits for no earlier one. */
  unblock(bytes: number): void {
    this.memory.unblock(bytes);
    this.memory.noteTurn();
  }

  remove(bytes: number, isNext: boolean): void {
    this.heldBytes -= bytes;
    if (!isNext) this.memory.unblock(bytes);
    this.memory.release(bytes);
  }

  /** Whether a request behind `position` others may start. */
  mayStart(position: number): boolean {
    return (
      position === 0 ||
      (!this.memory.isFull &&
        this.heldBytes < MAXIMUM_UNSENT_BYTES &&
        position * this.typicalBytes < MAXIMUM_UNSENT_BYTES)
    );
  }

  /**
   * Number of checks in a row within which the client has taken fewer bytes
   * than `MINIMUM_PROGRESS_BYTES` although there was something to read.
   */
  get slowChecks(): number {
    return this.slowCheckCount;
  }

  /**
   * Returns the number of checks in a row, including this one, for which the
   * client has read nothing although there is something to read.
   */
  checkProgress(): number {
    const {bytesWritten, writableLength} = this.socket;
    const sentBytes = bytesWritten - writableLength;
    const isStalled = writableLength > 0 && sentBytes === this.sentBytes;
    this.sentBytes = sentBytes;
    const progressBytes = sentBytes - this.sufficientBytes;
    if (writableLength === 0 || progressBytes >= MINIMUM_PROGRESS_BYTES) {
      this.sufficientBytes = sentBytes;
      this.slowCheckCount = 0;
    } else {
      this.slowCheckCount++;
    }
    this.checksWithoutProgress = isStalled ? this.checksWithoutProgress + 1 : 0;
    return this.checksWithoutProgress;
  }
}
