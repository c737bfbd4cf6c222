import type * as net from 'node:net';

/** Time for which input is discarded before a connection closes. */
const LINGER_MS = 500;

/** Input that is discarded at most in this time. */
const MAXIMUM_LINGER_BYTES = 4 * 1024 * 1024;

/**
 * Closes a connection that may have unread input. Closing it at once would reset
 * it, and the client could lose the last responses.
 */
export class LingeringClose {
  private bytesReadBefore: number | null = null;

  constructor(private readonly socket: net.Socket) {}

  begin(): void {
    const {socket} = this;
    if (this.bytesReadBefore !== null) return;
    this.bytesReadBefore = socket.bytesRead;
    socket.end();
    socket.resume();
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.on('end', () => socket.destroy());
    socket.on('close', () => clearTimeout(timer));
  }

  /** Called on input that is discarded. */
  noteInput(): void {
    if (this.bytesReadBefore === null) return;
    const discardedBytes = this.socket.bytesRead - this.bytesReadBefore;
    if (discardedBytes > MAXIMUM_LINGER_BYTES) this.socket.destroy();
  }
}
