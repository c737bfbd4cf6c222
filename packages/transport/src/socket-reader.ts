import type * as net from 'node:net';

/** Reads a socket one chunk at a time, with backpressure. */
export class SocketReader {
  private chunks: Uint8Array[] = [];
  private ended = false;
  private error: Error | null = null;
  private resolvePendingRead: (() => void) | null = null;

  constructor(private readonly socket: net.Socket) {
    socket.on('data', (chunk: Uint8Array) => {
      this.chunks.push(chunk);
      // Normally each chunk is read before the next one arrives.
      if (this.chunks.length > 1) socket.pause();
      this.wakeReader();
    });
    socket.on('end', () => this.finish());
    socket.on('close', () => this.finish());
    socket.on('error', error => {
      this.error = error;
      this.finish();
    });
  }

  /** Returns the next chunk, or null at the end. Throws the socket's error. */
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
        this.resolvePendingRead = resolve;
      });
    }
  }

  private finish(): void {
    this.ended = true;
    this.wakeReader();
  }

  private wakeReader(): void {
    const {resolvePendingRead} = this;
    this.resolvePendingRead = null;
    resolvePendingRead?.();
  }
}
