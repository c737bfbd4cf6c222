import type * as net from 'node:net';
import * as protocol from '@camphorwharf/protocol';

/** Bodies wait while more than this is unsent; it is 8 ms at 1 Gbit/s. */
const CONGESTED_BYTES = 1024 * 1024;

/** One whole frame beyond the bodies, requests and heads in flight. */
const MAXIMUM_OUTPUT_BYTES = 16 * 1024 * 1024;

/**
 * Writes frames to a socket. Frames written in one turn of the event loop
 * leave in one system call, at the end of that turn.
 */
export class FrameWriter {
  private corked = false;
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
    if (!this.corked) {
      this.corked = true;
      socket.cork();
      setImmediate(() => {
        this.corked = false;
        socket.uncork();
      });
    }
    socket.write(frame);
    if (socket.writableLength > MAXIMUM_OUTPUT_BYTES) this.onOverflow();
  }

  /** Whether body chunks should wait. */
  get congested(): boolean {
    return (
      !this.socket.destroyed && this.socket.writableLength > CONGESTED_BYTES
    );
  }

  /** Resolves when the output has drained or the socket is closed. */
  drained(): Promise<void> {
    if (this.socket.destroyed || !this.socket.writableNeedDrain) {
      return Promise.resolve();
    }
    return new Promise(resolve => this.waiters.push(resolve));
  }
}
