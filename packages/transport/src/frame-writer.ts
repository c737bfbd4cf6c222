import type * as net from 'node:net';
import * as protocol from '@camphorwharf/protocol';

/** Bodies wait while more than this is unsent; it is 8 ms at 1 Gbit/s. */
const CONGESTED_BYTES = 1024 * 1024;

/** One whole frame beyond the bodies, requests and heads in flight. */
const MAXIMUM_OUTPUT_BYTES = 16 * 1024 * 1024;

/** Frames up to this size together are copied into one piece. */
const ONE_PIECE_BYTES = 64 * 1024;

/**
 * Writes frames to a socket. Frames written in one turn of the event loop
 * leave in one system call, at the end of that turn.
 */
export class FrameWriter {
  private waiting: Uint8Array[] = [];
  private waitingBytes = 0;
  private waiters: Array<() => void> = [];

  constructor(
    private readonly socket: net.Socket,
    private readonly onOverflow: () => void,
  ) {
    const release = () => {
      const {waiters} = this;
      this.waiters = [];
      for (const waiter of waiters) waiter();
    };
    socket.on('drain', release);
    socket.on('close', release);
  }

  write(frame: protocol.Frame): void {
    this.writeEncoded(protocol.encodeFrame(frame));
  }

  /** Writes a frame that was encoded before, for example for many peers. */
  writeEncoded(frame: Uint8Array): void {
    const {socket} = this;
    if (socket.destroyed || socket.writableEnded) return;
    if (this.waiting.length === 0) setImmediate(() => this.flush());
    this.waiting.push(frame);
    this.waitingBytes += frame.length;
    if (this.unsentBytes > MAXIMUM_OUTPUT_BYTES) this.onOverflow();
  }

  /** Hands all frames to the socket, for example before it is closed. */
  flush(): void {
    const {socket, waiting, waitingBytes} = this;
    if (waiting.length === 0) return;
    this.waiting = [];
    this.waitingBytes = 0;
    if (socket.destroyed || socket.writableEnded) return;
    if (waiting.length === 1) {
      socket.write(waiting[0]);
    } else if (waitingBytes <= ONE_PIECE_BYTES) {
      socket.write(Buffer.concat(waiting, waitingBytes));
    } else {
      socket.cork();
      for (const frame of waiting) socket.write(frame);
      socket.uncork();
    }
  }

  /** Whether body chunks should wait. */
  get congested(): boolean {
    return !this.socket.destroyed && this.unsentBytes > CONGESTED_BYTES;
  }

  /** Resolves when the output has drained or the socket is closed. */
  drained(): Promise<void> {
    this.flush();
    if (this.socket.destroyed || !this.socket.writableNeedDrain) {
      return Promise.resolve();
    }
    return new Promise(resolve => this.waiters.push(resolve));
  }

  private get unsentBytes(): number {
    return this.socket.writableLength + this.waitingBytes;
  }
}
