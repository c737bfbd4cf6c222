import * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import * as peerConnection from './peer-connection.js';
import type * as peer from './peer-interfaces.js';
import * as options from './peer-options.js';

/**
 * After a failed attempt, `connect` fails immediately for this long, so that an
 * unreachable host is not contacted once per call.
 */
const RECONNECT_DELAY_MS = 100;

/** At this number of entries, those without a connection are evicted. */
const MAXIMUM_ENTRIES = 4_096;

interface Entry {
  connection: peerConnection.PeerConnection | null;
  opening: Promise<peerConnection.PeerConnection> | null;
  lastFailure: {readonly error: unknown; readonly atMs: number} | null;
}

/** Connections opened by this process, one shared per address and port. */
export class PeerPool implements peer.PeerConnector {
  private readonly entries = new Map<string, Entry>();
  private readonly established = new Set<peerConnection.PeerConnection>();
  private closing = false;

  constructor(private readonly options: options.PeerOptions) {}

  /** Every open connection, shared or not. */
  get connections(): ReadonlySet<peerConnection.PeerConnection> {
    return this.established;
  }

  /**
   * Returns the shared connection, and opens it if needed. Throws
   * ConnectionError when the peer cannot be reached in time.
   */
  async connect(
    address: string,
    port: number,
  ): Promise<peerConnection.PeerConnection> {
    const key = `${address}|${port}`;
    let entry = this.entries.get(key);
    if (!entry) {
      this.evictUnusedEntries();
      entry = {connection: null, opening: null, lastFailure: null};
      this.entries.set(key, entry);
    }
    if (entry.connection && !entry.connection.closed) return entry.connection;
    if (entry.opening) return entry.opening;
    const nowMs = this.options.clock.monotonicMs();
    if (
      entry.lastFailure &&
      nowMs - entry.lastFailure.atMs < RECONNECT_DELAY_MS
    ) {
      throw entry.lastFailure.error;
    }
    entry.opening = this.openShared(key, entry, address, port);
    return entry.opening;
  }

  /** Closes the shared connection to a peer once it is idle. */
  closeSharedWhenIdle(address: string, port: number): void {
    const entry = this.entries.get(`${address}|${port}`);
    if (entry?.connection) void entry.connection.closeWhenIdle();
  }

  async connectUnshared(
    address: string,
    port: number,
  ): Promise<peerConnection.PeerConnection> {
    this.throwIfClosing();
    const socket = await this.connectSocket(address, port);
    const connection = await peerConnection.PeerConnection.open(
      socket,
      this.options,
      true,
    );
    if (this.closing) connection.close('pool closed');
    this.throwIfClosing();
    this.established.add(connection);
    void connection.ended.then(() => this.established.delete(connection));
    return connection;
  }

  /** Opens no further connections and closes each one once it is idle. */
  async closeWhenIdle(): Promise<void> {
    this.closing = true;
    await Promise.all(
      [...this.established].map(connection => connection.closeWhenIdle()),
    );
  }

  /** Closes all connections immediately. */
  close(reason: string): void {
    this.closing = true;
    for (const connection of [...this.established]) connection.close(reason);
  }

  private throwIfClosing(): void {
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
      const connection = await this.connectUnshared(address, port);
      entry.connection = connection;
      entry.lastFailure = null;
      void connection.ended.then(() =>
        this.removeConnection(key, entry, connection),
      );
      return connection;
    } catch (error) {
      entry.lastFailure = {error, atMs: this.options.clock.monotonicMs()};
      throw error;
    } finally {
      entry.opening = null;
    }
  }

  /**
   * Deletes the entry too, so that addresses of replaced hosts do not pile up.
   */
  private removeConnection(
    key: string,
    entry: Entry,
    connection: peerConnection.PeerConnection,
  ): void {
    if (entry.connection !== connection) return;
    entry.connection = null;
    if (!entry.opening) this.entries.delete(key);
  }

  /** Limits the number of entries for addresses that could not be reached. */
  private evictUnusedEntries(): void {
    if (this.entries.size < MAXIMUM_ENTRIES) return;
    for (const [key, entry] of this.entries) {
      if (!entry.connection && !entry.opening) this.entries.delete(key);
    }
  }

  private connectSocket(address: string, port: number): Promise<net.Socket> {
    const timeoutMs =
      this.options.handshakeTimeoutMs ?? options.HANDSHAKE_TIMEOUT_MS;
    return new Promise((resolve, reject) => {
      const socket = net.connect({host: address, port, noDelay: true});
      const settled = new AbortController();
      const fail = (cause?: unknown) => {
        settled.abort();
        socket.destroy();
        reject(
          new runtime.ConnectionError(
            `Could not connect to peer ${address} port ${port}. Choose ` +
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
      void this.options.clock.delay(timeoutMs, settled.signal).then(() => {
        if (!settled.signal.aborted) fail();
      });
    });
  }
}
