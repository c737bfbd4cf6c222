import type * as net from 'node:net';
import * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import * as bodyMemory from './body-memory.js';
import * as callTable from './call-table.js';
import * as connectionClose from './connection-close.js';
import * as connectionHello from './connection-hello.js';
import * as connectionTelemetry from './connection-telemetry.js';
import * as frameWriter from './frame-writer.js';
import * as heartbeatState from './heartbeat-state.js';
import type * as peer from './peer-interfaces.js';
import * as options from './peer-options.js';
import * as phasedDelay from './phased-delay.js';
import * as reportFrames from './report-frames.js';
import * as requestTable from './request-table.js';
import * as socketReader from './socket-reader.js';

/**
 * One peer connection. One task reads its frames in order; another sends
 * heartbeats and closes the connection when it is silent. Owns the socket, the
 * calls and the control requests in flight.
 */
export class PeerConnection implements peer.PeerLink {
  /** Resolves with the reason when the connection has ended. */
  readonly ended: Promise<options.CloseReasonName>;
  private readonly decoder = new protocol.FrameDecoder();
  private readonly writer: frameWriter.FrameWriter;
  private readonly heartbeats: heartbeatState.HeartbeatState;
  private readonly calls: callTable.CallTable;
  private readonly requests: requestTable.RequestTable;
  private readonly telemetry: connectionTelemetry.ConnectionTelemetry;
  private readonly closeSignal = new runtime.CancelSource();
  private remoteHello: protocol.Hello | null = null;
  private closeReason: options.CloseReasonName | null = null;
  private resolveEnded!: (reason: options.CloseReasonName) => void;
  private onHandshakeDone: (error: Error | null) => void = () => undefined;

  private constructor(
    private readonly socket: net.Socket,
    private readonly options: options.PeerOptions,
    initiator: boolean,
  ) {
    const {clock, handler, hello} = options;
    this.telemetry = new connectionTelemetry.ConnectionTelemetry(
      options,
      socket,
    );
    this.ended = new Promise(resolve => {
      this.resolveEnded = resolve;
    });
    socket.setNoDelay(true);
    this.writer = new frameWriter.FrameWriter(socket, () =>
      this.end('outputFull'),
    );
    const helloSentAtMs = clock.monotonicMs();
    this.heartbeats = new heartbeatState.HeartbeatState(helloSentAtMs);
    this.calls = new callTable.CallTable({
      writer: this.writer,
      memory: options.bodyMemory ?? new bodyMemory.BodyMemory(),
      initiator,
      onCall: call => handler.onCall(call, this),
      onDropped: cause => this.telemetry.countDroppedFrame(cause),
      onHandlerError: error => this.telemetry.recordHandlerError('call', error),
    });
    this.requests = new requestTable.RequestTable({
      writer: this.writer,
      clock,
      onRequest: body => handler.onRequest(body, this),
      onDropped: cause => this.telemetry.countDroppedFrame(cause),
      onHandlerError: error =>
        this.telemetry.recordHandlerError('request', error),
    });
    this.writer.write(connectionHello.createHello(hello, helloSentAtMs));
  }

  /**
   * Takes ownership of a connected socket. Resolves on the hello of the remote
   * end. Throws ConnectionError when it does not arrive in time.
   */
  static open(
    socket: net.Socket,
    connectionOptions: options.PeerOptions,
    initiator: boolean,
  ): Promise<PeerConnection> {
    const connection = new PeerConnection(socket, connectionOptions, initiator);
    return new Promise((resolve, reject) => {
      connection.onHandshakeDone = error => {
        connection.onHandshakeDone = () => undefined;
        if (error) reject(error);
        else resolve(connection);
      };
      void connection.readFrames();
    });
  }

  get remote(): protocol.Hello {
    if (!this.remoteHello) throw new Error('The connection is not open yet.');
    return this.remoteHello;
  }

  get closed(): boolean {
    return this.closeReason !== null;
  }

  /** Whether no calls and no control requests are in flight. */
  get idle(): boolean {
    return this.calls.idle && this.requests.idle;
  }

  request(
    body: protocol.ControlRequest,
    timeoutMs: number,
  ): Promise<protocol.ControlReply> {
    if (this.closed) {
      return Promise.reject(connectionClose.closedError(this.closeReason));
    }
    return this.requests.send(body, timeoutMs);
  }

  call(
    head: peer.OutgoingCall,
    body: AsyncIterable<Uint8Array> | null,
    callOptions: peer.OutgoingCallOptions,
  ): Promise<peer.PeerResult> {
    if (this.closed) return Promise.resolve({kind: 'lost', sent: false});
    const permission = this.heartbeats.createPermission(
      this.options.clock.monotonicMs(),
      callOptions.permissionMs,
    );
    return this.calls.start(
      head,
      body,
      permission,
      callOptions.signal,
      this.heartbeats.lastRemoteClockMs,
    );
  }

  report(report: Readonly<Record<string, unknown>>): void {
    if (this.closed) return;
    this.writer.writeEncoded('report', reportFrames.encodeReport(report));
  }

  close(reason: string): void {
    this.options.logger.debug('peer-close-requested', {reason});
    this.end('requested');
  }

  /**
   * Closes the connection once it is idle. Resolves when the connection has
   * ended for any reason.
   */
  async closeWhenIdle(): Promise<void> {
    while (!this.closed && !this.idle) {
      await Promise.race([
        this.calls.untilIdle().then(() => this.requests.untilIdle()),
        this.ended,
      ]);
    }
    this.end('idle');
    await this.ended;
  }

  private async readFrames(): Promise<void> {
    const {clock} = this.options;
    void this.enforceHandshakeTimeout();
    const reader = new socketReader.SocketReader(this.socket);
    try {
      for (;;) {
        const chunk = await reader.read();
        if (this.closed) return;
        if (chunk === null) return this.end('remoteClosed');
        this.decoder.feed(chunk);
        for (
          let frame = this.decoder.read();
          frame !== null && !this.closed;
          frame = this.decoder.read()
        ) {
          this.heartbeats.recordFrame(clock.monotonicMs());
          if (this.remoteHello) this.dispatchFrame(frame);
          else this.acceptHello(frame);
        }
        if (!this.remoteHello && connectionHello.isTooLong(this.decoder)) {
          return this.end('malformed');
        }
        this.telemetry.countUnknownFrames(this.decoder.unknownFrames);
      }
    } catch (error) {
      const malformed = error instanceof runtime.ProtocolError;
      this.end(malformed ? 'malformed' : 'socketError', error);
    }
  }

  private acceptHello(frame: protocol.DecodedFrame): void {
    const hello = connectionHello.readHello(frame);
    if (hello === null) {
      this.end('versionMismatch');
      return;
    }
    this.remoteHello = hello;
    this.telemetry.observe(this.writer.writtenBytes, hello);
    this.heartbeats.recordHello(hello, this.options.clock.monotonicMs());
    void this.sendHeartbeats();
    this.onHandshakeDone(null);
  }

  private dispatchFrame(frame: protocol.DecodedFrame): void {
    const {calls, requests} = this;
    const nowMs = this.options.clock.monotonicMs();
    switch (frame.kind) {
      case 'hello':
        this.telemetry.countDroppedFrame('duplicate');
        return;
      case 'heartbeat':
        if (!this.heartbeats.receive(frame, nowMs)) {
          this.telemetry.countDroppedFrame('duplicate');
        }
        return;
      case 'call':
        calls.accept(
          frame,
          this.heartbeats.isValid(frame.permission, nowMs),
          nowMs,
        );
        return;
      case 'request':
        requests.accept(frame);
        return;
      case 'report':
        this.options.handler.onReport?.(frame.report, this);
        return;
      case 'unsupportedRequest':
        requests.rejectUnsupported(frame.request);
        return;
      case 'reply':
        requests.onReply(frame);
        return;
      case 'callBody':
      case 'callCredit':
      case 'answerHead':
      case 'wholeAnswer':
      case 'answerBody':
      case 'answerEnd':
      case 'refusal':
      case 'unknownOutcome':
      case 'cancel':
        calls.dispatch(frame);
        return;
    }
  }

  private async sendHeartbeats(): Promise<void> {
    const {
      clock,
      heartbeatIntervalMs: intervalMs = options.HEARTBEAT_INTERVAL_MS,
      heartbeatPhaseMs: phaseMs = 0,
      idleHeartbeatIntervalMs: idleIntervalMs = () => 0,
      silenceLimitMs: limitMs = options.SILENCE_LIMIT_MS,
    } = this.options;
    while (!this.closed) {
      const startedMs = clock.monotonicMs();
      this.heartbeats.recordBusy(!this.idle, startedMs);
      if (this.heartbeats.isDue(startedMs, idleIntervalMs())) {
        this.writer.write(this.heartbeats.nextHeartbeat(startedMs));
      }
      // Aligned: all connections of a process send in the same loop iteration.
      await clock.delay(
        phasedDelay.delayToPhase(startedMs, intervalMs, phaseMs),
        this.closeSignal,
      );
      // After a stall of this process, input that the kernel has received is
      // read first; otherwise the remote end would seem silent.
      if (clock.monotonicMs() - startedMs > 2 * intervalMs) {
        await connectionClose.untilNextPoll();
      }
      if (this.closed) return;
      this.telemetry.countBytes();
      const direction = this.heartbeats.silent(clock.monotonicMs(), limitMs);
      if (direction) this.end('silent', undefined, direction);
    }
  }

  private async enforceHandshakeTimeout(): Promise<void> {
    const {clock, handshakeTimeoutMs = options.HANDSHAKE_TIMEOUT_MS} =
      this.options;
    await clock.delay(handshakeTimeoutMs, this.closeSignal);
    if (!this.remoteHello) await connectionClose.untilNextPoll();
    if (!this.remoteHello) this.end('noHello');
  }

  private end(
    reason: options.CloseReasonName,
    error?: unknown,
    direction?: string,
  ): void {
    if (this.closeReason) return;
    this.closeReason = reason;
    if (reason === 'requested' || reason === 'idle') {
      this.writer.flush();
      this.socket.destroySoon();
      const limitMs = this.options.silenceLimitMs ?? options.SILENCE_LIMIT_MS;
      void connectionClose.forceClose(this.socket, this.options.clock, limitMs);
    } else {
      this.socket.destroy();
    }
    this.closeSignal.abort();
    const failure = connectionClose.closedError(reason, error);
    this.calls.failAll(failure);
    this.requests.failAll(failure);
    this.telemetry.recordClosed(reason, {
      ...(direction === undefined ? {} : {direction}),
      hostId: this.remoteHello?.hostId ?? null,
      address: this.socket.remoteAddress ?? null,
      ...(error instanceof Error ? {error: error.message} : {}),
    });
    this.onHandshakeDone(failure);
    this.resolveEnded(reason);
  }
}
