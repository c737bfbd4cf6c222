import type * as net from 'node:net';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as options from './peer-options.js';

/** Writes the metrics and log lines of one peer connection. */
export class ConnectionTelemetry {
  private countedUnknownFrames = 0;
  private countedSentBytes = 0;
  private countedReceivedBytes = 0;
  private writtenBytes: ReadonlyMap<protocol.FrameKind, number> = new Map();
  private readonly countedBytes = new Map<protocol.FrameKind, number>();
  private isWithinZone = false;

  constructor(
    private readonly options: Pick<
      options.PeerOptions,
      'hello' | 'logger' | 'metrics' | 'unidentifiedLog'
    >,
    private readonly socket: Pick<net.Socket, 'bytesRead' | 'bytesWritten'>,
  ) {}

  /** Counts the bytes by kind from now on; the remote end is known. */
  observe(
    writtenBytes: ReadonlyMap<protocol.FrameKind, number>,
    remote: Pick<protocol.Hello, 'availabilityZone'>,
  ): void {
    this.writtenBytes = writtenBytes;
    this.isWithinZone =
      remote.availabilityZone === this.options.hello.availabilityZone;
  }

  recordClosed(
    reason: options.CloseReasonName,
    fields: runtime.LogFields,
  ): void {
    this.countBytes();
    this.options.metrics.count(
      'peer_connections_closed_total',
      'Peer connections that ended, by reason.',
      {reason},
    );
    const {logger, unidentifiedLog = logger} = this.options;
    const log = fields.hostId === null ? unidentifiedLog : logger;
    log.info('peer-connection-closed', {reason, ...fields});
  }

  countDroppedFrame(cause: string): void {
    this.options.metrics.count(
      'peer_frames_dropped_total',
      'Frames of peer connections that were dropped, by cause.',
      {cause},
    );
  }

  /** Counts the frames of unknown kinds; `total` is their number so far. */
  countUnknownFrames(total: number): void {
    for (; this.countedUnknownFrames < total; this.countedUnknownFrames++) {
      this.countDroppedFrame('unknownKind');
    }
  }

  /** Counts the bytes sent and received since the previous call. */
  countBytes(): void {
    const {bytesWritten, bytesRead} = this.socket;
    this.options.metrics.count(
      'peer_bytes_sent_total',
      'Bytes written to peer connections, calls and control together.',
      {},
      bytesWritten - this.countedSentBytes,
    );
    this.options.metrics.count(
      'peer_bytes_received_total',
      'Bytes read from peer connections, calls and control together.',
      {},
      bytesRead - this.countedReceivedBytes,
    );
    this.countedSentBytes = bytesWritten;
    this.countedReceivedBytes = bytesRead;
    this.countBytesByKind();
  }

  /** Traffic between zones is expensive; its kinds show what causes it. */
  private countBytesByKind(): void {
    const {metrics} = this.options;
    for (const [kind, bytes] of this.writtenBytes) {
      const counted = this.countedBytes.get(kind) ?? 0;
      if (bytes === counted) continue;
      this.countedBytes.set(kind, bytes);
      if (this.isWithinZone) {
        metrics.count(
          'peer_bytes_within_zone_total',
          'Bytes sent to peers of the same availability zone, by message.',
          {kind},
          bytes - counted,
        );
      } else {
        metrics.count(
          'peer_bytes_between_zones_total',
          'Bytes sent to peers of other availability zones, by message.',
          {kind},
          bytes - counted,
        );
      }
    }
  }

  recordHandlerError(what: 'call' | 'request', error: unknown): void {
    this.options.metrics.count(
      'peer_handler_errors_total',
      'Handlers of peer calls and control requests that threw.',
      {what},
    );
    this.options.logger.warn('peer-handler-failed', {
      what,
      error: error instanceof Error ? error.message : String(error),
    });
  }
}
