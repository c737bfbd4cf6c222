import * as net from 'node:net';
import * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as ava from 'ava';
import * as transport from '../index.js';

export const TRAILER: transport.ResponseTrailer = {
  unspentRetries: 2,
  threshold: {importance: 2, rank: 0.5},
};

export function hello(hostId: string): transport.PeerOptions['hello'] {
  return {
    hostId,
    incarnation: `${hostId}-1`,
    service: 'catalogue',
    availabilityZone: 'dakar',
  };
}

export const refuseAll: transport.PeerHandler = {
  onRequest: () => Promise.resolve({kind: 'notOwner'}),
  onCall: call => {
    call.refuse('overloaded', false, TRAILER);
    return Promise.resolve();
  },
};

export function peerOptions(
  hostId: string,
  handler: transport.PeerHandler = refuseAll,
): transport.PeerOptions & {readonly metrics: runtime.Metrics} {
  return {
    clock: new runtime.SystemClock(),
    logger: runtime.silentLogger,
    metrics: new runtime.Metrics(),
    hello: hello(hostId),
    handler,
    // Long, so that a busy machine fails no test that is not about timeouts.
    silenceLimitMs: 600_000,
    handshakeTimeoutMs: 600_000,
  };
}

/**
 * Returns the sum of a counter over matching labels; 0 if never incremented.
 */
export async function counter(
  metrics: runtime.Metrics,
  name: string,
  labels: Readonly<Record<string, string>> = {},
): Promise<number> {
  const metric = metrics.registry.getSingleMetric(`camphorwharf_${name}`);
  if (!metric) return 0;
  const {values} = await metric.get();
  let sum = 0;
  for (const value of values) {
    const matches = Object.entries(labels).every(
      ([label, text]) => value.labels[label] === text,
    );
    if (matches) sum += value.value;
  }
  return sum;
}

export function callHead(
  overrides: Partial<transport.OutgoingCall> = {},
): transport.OutgoingCall {
  return {
    attempt: 1,
    service: 'catalogue',
    method: 'GET',
    path: '/parts/7?colour=red',
    headers: [['accept', 'application/json']],
    contentLength: null,
    hasBody: false,
    context: {
      requestId: '0123456789ab',
      organisation: 'garage',
      importance: 1,
      rank: 0.25,
      remainingMs: 4_000,
      retries: 3,
      depth: 1,
      idempotent: true,
      idempotencyKey: null,
    },
    ...overrides,
  };
}

export function callOptions(
  overrides: Partial<transport.OutgoingCallOptions> = {},
): transport.OutgoingCallOptions {
  return {
    permissionMs: 2_000,
    signal: new AbortController().signal,
    ...overrides,
  };
}

export async function* chunksOf(
  ...chunks: ReadonlyArray<string | Uint8Array>
): AsyncGenerator<Uint8Array, void, void> {
  for (const chunk of chunks) {
    yield typeof chunk === 'string' ? Buffer.from(chunk) : chunk;
  }
}

export async function readAll(
  body: AsyncIterable<Uint8Array>,
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks);
}

export interface PeerPair {
  readonly caller: transport.PeerConnection;
  readonly callerMetrics: runtime.Metrics;
  readonly listener: transport.PeerListener;
  readonly listenerMetrics: runtime.Metrics;
  readonly port: number;
}

/** Starts a listener with `handler` and opens one connection to it. */
export async function connectedPair(
  t: ava.ExecutionContext,
  handler: transport.PeerHandler,
  overrides: Partial<transport.PeerOptions> = {},
): Promise<PeerPair> {
  const listenerOptions = {...peerOptions('target', handler), ...overrides};
  const listener = new transport.PeerListener(listenerOptions);
  const port = await listener.listen(0, '127.0.0.1');
  const callerOptions = {...peerOptions('entry'), ...overrides};
  const pool = new transport.PeerPool(callerOptions);
  t.teardown(() => {
    pool.close('test ended');
    listener.close('test ended');
  });
  const caller = await pool.connect('127.0.0.1', port);
  return {
    caller,
    callerMetrics: callerOptions.metrics,
    listener,
    listenerMetrics: listenerOptions.metrics,
    port,
  };
}

/** For a remote end that sends readings of a system clock. */
export function assertLostAfterSend(
  t: ava.ExecutionContext,
  result: transport.PeerResult,
): void {
  if (result.kind !== 'lost') return t.fail(result.kind);
  const {sentAfterMs, ...rest} = result;
  t.deepEqual(rest, {kind: 'lost', sent: true});
  t.true(Number.isSafeInteger(sentAfterMs));
}

/** A peer whose frames are written by the test. */
export class RawPeer {
  readonly received: protocol.DecodedFrame[] = [];
  private readonly decoder = new protocol.FrameDecoder();
  private waiters: Array<() => void> = [];
  closed = false;

  constructor(readonly socket: net.Socket) {
    socket.on('data', (chunk: Uint8Array) => {
      this.decoder.feed(chunk);
      for (let frame = this.decoder.read(); frame;) {
        this.received.push(frame);
        frame = this.decoder.read();
      }
      this.notifyChange();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.closed = true;
      this.notifyChange();
    });
  }

  static async connect(port: number): Promise<RawPeer> {
    const socket = net.connect({port, host: '127.0.0.1'});
    await new Promise(resolve => socket.once('connect', resolve));
    return new RawPeer(socket);
  }

  send(...frames: readonly protocol.Frame[]): void {
    for (const frame of frames) this.socket.write(protocol.encodeFrame(frame));
  }

  sendHello(versionMinimum = 1, versionMaximum = 1): void {
    this.send({
      kind: 'hello',
      versionMinimum,
      versionMaximum,
      ...hello('raw'),
    });
  }

  /** Resolves with the first frame of `kind` after `skip` earlier ones. */
  async frame<K extends protocol.FrameKind>(
    kind: K,
    skip = 0,
  ): Promise<Extract<protocol.Frame, {kind: K}>> {
    for (;;) {
      const found = this.received.filter(frame => frame.kind === kind)[skip];
      if (found) return found as Extract<protocol.Frame, {kind: K}>;
      if (this.closed) throw new Error(`closed before frame ${kind}`);
      await this.nextChange();
    }
  }

  async untilClosed(): Promise<void> {
    while (!this.closed) await this.nextChange();
  }

  private nextChange(): Promise<void> {
    return new Promise(resolve => this.waiters.push(resolve));
  }

  private notifyChange(): void {
    const {waiters} = this;
    this.waiters = [];
    for (const waiter of waiters) waiter();
  }
}
