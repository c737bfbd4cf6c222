import type * as net from 'node:net';

/** Reads a socket chunk by chunk, with one promise per chunk. */
export class SocketReader {
  private chunks: Uint8Array[] = [];
  private ended = false;
  private error: Error | null = null;
  private wake: (() => void) | null = null;

  constructor(private readonly socket: net.Socket) {
    socket.on('data', (chunk: Uint8Array) => {
      this.chunks.push(chunk);
      // The reader takes each chunk before the next one normally arrives.
      if (this.chunks.length > 1) socket.pause();
      this.resume();
    });
    socket.on('end', () => this.finish());
    socket.on('close', () => this.finish());
    socket.on('error', error => {
      this.error = error;
      this.finish();
    });
  }

  /** Returns the next chunk, or null at the end; throws the socket's error. */
  async read(): Promise<Uint8Array | null> {
    for (;;) {
      const chunk = this.chunks.shift();
      if (chunk) {
        if (this.socket.isPaused()) this.socket.resume();
        return chunk;
      }
      if (this.error) throw this.error;
      if (this.ended) return null;
      await new Promise<void>(resolve => {
        this.wake = resolve;
      });
    }
  }

  private finish(): void {
    this.ended = true;
    this.resume();
  }

  private resume(): void {
    const {wake} = this;
    this.wake = null;
    wake?.();
  }
}
