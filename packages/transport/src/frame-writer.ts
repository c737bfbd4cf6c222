import type * as net from 'node:net';
import * as protocol from '@camphorwharf/protocol';

/**
 * Body chunks wait while more bytes are unsent. Sending this many takes 8 ms at
 * 1 Gbit/s.
 */
const CONGESTION_THRESHOLD_BYTES = 1024 * 1024;

/**
 * The connection closes when more bytes are unsent. Leaves room for one frame
 * of maximum size in addition to the bodies, requests and heads in flight.
 */
const MAXIMUM_UNSENT_BYTES = 16 * 1024 * 1024;

/** Frames up to this total size are copied into one buffer. */
const MAXIMUM_COALESCED_BYTES = 64 * 1024;

/**
 * Writes frames to a socket. All frames written in one event loop iteration are
 * sent in one system call at its end.
 */
export class FrameWriter {
  private pendingFrames: Uint8Array[] = [];
  private pendingBytes = 0;
  private drainWaiters: Array<() => void> = [];
  /** Bytes of the frames written so far, by their kind. */
  readonly writtenBytes = new Map<protocol.FrameKind, number>();

  constructor(
    private readonly socket: net.Socket,
    private readonly onOverflow: () => void,
  ) {
    const resolveWaiters = () => {
      const {drainWaiters} = this;
      this.drainWaiters = [];
      for (const waiter of drainWaiters) waiter();
    };
    socket.on('drain', resolveWaiters);
    socket.on('close', resolveWaiters);
  }

  write(frame: protocol.Frame): void {
    this.writeEncoded(frame.kind, protocol.encodeFrame(frame));
  }

  /** Writes an already encoded frame, for example one sent to many peers. */
  writeEncoded(kind: protocol.FrameKind, frame: Uint8Array): void {
    const {socket} = this;
    if (socket.destroyed || socket.writableEnded) return;
    if (this.pendingFrames.length === 0) setImmediate(() => this.flush());
    this.pendingFrames.push(frame);
    this.pendingBytes += frame.length;
    const {writtenBytes} = this;
    writtenBytes.set(kind, (writtenBytes.get(kind) ?? 0) + frame.length);
    if (this.unsentBytes > MAXIMUM_UNSENT_BYTES) this.onOverflow();
  }

  /** Writes all pending frames to the socket. */
  flush(): void {
    const {socket, pendingFrames: frames, pendingBytes: bytes} = this;
    if (frames.length === 0) return;
    this.pendingFrames = [];
    this.pendingBytes = 0;
    if (socket.destroyed || socket.writableEnded) return;
    if (frames.length === 1) {
      socket.write(frames[0]);
    } else if (bytes <= MAXIMUM_COALESCED_BYTES) {
      socket.write(Buffer.concat(frames, bytes));
    } else {
      socket.cork();
      for (const frame of frames) socket.write(frame);
      socket.uncork();
    }
  }

  /** Whether body chunks should wait for `untilDrained`. */
  get congested(): boolean {
    return (
      !this.socket.destroyed && this.unsentBytes > CONGESTION_THRESHOLD_BYTES
    );
  }

  /** Resolves when the output has drained or the socket has closed. */
  untilDrained(): Promise<void> {
    this.flush();
    if (this.socket.destroyed || !this.socket.writableNeedDrain) {
      return Promise.resolve();
    }
    return new Promise(resolve => this.drainWaiters.push(resolve));
  }

  private get unsentBytes(): number {
    return this.socket.writableLength + this.pendingBytes;
  }
}
