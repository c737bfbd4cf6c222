import * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import * as peerConnection from './peer-connection.js';
import type * as peer from './peer-interfaces.js';
import * as options from './peer-options.js';

/** Keeps a refusing host from being asked once per call. */
const FAILURE_PAUSE_MS = 100;

/** Entries without a connection are removed above this number. */
const MAXIMUM_ENTRIES = 4_096;

interface Entry {
  connection: peerConnection.PeerConnection | null;
  opening: Promise<peerConnection.PeerConnection> | null;
  failure: {readonly error: unknown; readonly atMs: number} | null;
}

/** Connections that this process opened, one for each address and port. */
export class PeerPool implements peer.PeerDirectory {
  private readonly entries = new Map<string, Entry>();
  private readonly open = new Set<peerConnection.PeerConnection>();
  private closing = false;

  constructor(private readonly options: options.PeerOptions) {}

  /** Every open connection, shared or not. */
  get connections(): ReadonlySet<peerConnection.PeerConnection> {
    return this.open;
  }

  /** Throws ConnectionError when the peer cannot be reached in time. */
  async connect(
    address: string,
    port: number,
  ): Promise<peerConnection.PeerConnection> {
    const key = `${address}|${port}`;
    let entry = this.entries.get(key);
    if (!entry) {
      this.sweep();
      entry = {connection: null, opening: null, failure: null};
      this.entries.set(key, entry);
    }
    if (entry.connection && !entry.connection.closed) return entry.connection;
    if (entry.opening) return entry.opening;
    const nowMs = this.options.clock.monotonicMs();
    if (entry.failure && nowMs - entry.failure.atMs < FAILURE_PAUSE_MS) {
      throw entry.failure.error;
    }
    entry.opening = this.openShared(key, entry, address, port);
    return entry.opening;
  }

  /** Closes the shared connection to a peer when its work is done. */
  release(address: string, port: number): void {
    const entry = this.entries.get(`${address}|${port}`);
    if (entry?.connection) void entry.connection.closeWhenIdle();
  }

  async connectFresh(
    address: string,
    port: number,
  ): Promise<peerConnection.PeerConnection> {
    this.requireOpen();
    const socket = await this.dial(address, port);
    const connection = await peerConnection.PeerConnection.open(
      socket,
      this.options,
      true,
    );
    if (this.closing) connection.close('pool closed');
    this.requireOpen();
    this.open.add(connection);
    void connection.ended.then(() => this.open.delete(connection));
    return connection;
  }

  /** Opens no further connections and closes each when its work is done. */
  async closeWhenIdle(): Promise<void> {
    this.closing = true;
    await Promise.all(
      [...this.open].map(connection => connection.closeWhenIdle()),
    );
  }

  /** Closes every connection at once. */
  close(reason: string): void {
    this.closing = true;
    for (const connection of [...this.open]) connection.close(reason);
  }

  private requireOpen(): void {
    if (!this.closing) return;
    throw new runtime.ConnectionError(
      'This process is closing its peer connections. Use another host.',
    );
  }

  private async openShared(
    key: string,
    entry: Entry,
    address: string,
    port: number,
  ): Promise<peerConnection.PeerConnection> {
    try {
      const connection = await this.connectFresh(address, port);
      entry.connection = connection;
      entry.failure = null;
      void connection.ended.then(() => this.forget(key, entry, connection));
      return connection;
    } catch (error) {
      entry.failure = {error, atMs: this.options.clock.monotonicMs()};
      throw error;
    } finally {
      entry.opening = null;
    }
  }

  /** Addresses of replaced hosts must not accumulate. */
  private forget(
    key: string,
    entry: Entry,
    connection: peerConnection.PeerConnection,
  ): void {
    if (entry.connection !== connection) return;
    entry.connection = null;
    if (!entry.opening) this.entries.delete(key);
  }

  /** Addresses that never answered must not accumulate either. */
  private sweep(): void {
    if (this.entries.size < MAXIMUM_ENTRIES) return;
    for (const [key, entry] of this.entries) {
      if (!entry.connection && !entry.opening) this.entries.delete(key);
    }
  }

  private dial(address: string, port: number): Promise<net.Socket> {
    const limitMs = this.options.openingLimitMs ?? options.OPENING_LIMIT_MS;
    return new Promise((resolve, reject) => {
      const socket = net.connect({host: address, port, noDelay: true});
      const settled = new AbortController();
      const fail = (cause?: unknown) => {
        settled.abort();
        socket.destroy();
        reject(
          new runtime.ConnectionError(
            `Peer ${address} port ${port} could not be reached. Choose ` +
              'another target or try again.',
            {cause},
          ),
        );
      };
      socket.once('error', fail);
      socket.once('connect', () => {
        settled.abort();
        socket.off('error', fail);
        resolve(socket);
      });
      void this.options.clock.delay(limitMs, settled.signal).then(() => {
        if (!settled.signal.aborted) fail();
      });
    });
  }
}
