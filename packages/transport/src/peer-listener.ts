import * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import * as peerConnection from './peer-connection.js';
import type * as options from './peer-options.js';

/**
 * A daemon in a full cell has a few hundred connections, including those of its
 * callers and relay peers. A daemon of a service that every host calls has
 * several thousand.
 */
const DEFAULT_MAXIMUM_CONNECTIONS = 12_000;

export interface PeerListenerOptions extends options.PeerOptions {
  readonly maximumConnections?: number;
  /** Maximum number of connections that have not sent their hello. */
  readonly maximumHandshakes?: number;
}

/** Accepts peer connections; owns the listening socket and the connections. */
export class PeerListener {
  private readonly server: net.Server;
  private readonly established = new Set<peerConnection.PeerConnection>();
  /** Sockets before their hello, kept so that closing destroys them too. */
  private readonly handshakingSockets = new Set<net.Socket>();

  private readonly options: PeerListenerOptions;

  constructor(options: PeerListenerOptions) {
    const {clock, logger} = options;
    this.options = {
      ...options,
      unidentifiedLog: new runtime.BoundedLog(logger, clock),
    };
    this.server = net.createServer(socket => void this.accept(socket));
    this.server.maxConnections =
      options.maximumConnections ?? DEFAULT_MAXIMUM_CONNECTIONS;
    this.server.on('drop', () =>
      options.metrics.count(
        'peer_connections_refused_total',
        'Peer connections refused because of the connection limit.',
      ),
    );
  }

  /** The open connections that have completed the handshake. */
  get connections(): ReadonlySet<peerConnection.PeerConnection> {
    return this.established;
  }

  /** Starts listening. Port 0 selects a free port. Resolves with the port. */
  listen(port: number, address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({port, host: address, backlog: 1_024}, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as net.AddressInfo).port);
      });
    });
  }

  /** Accepts no further connections; established ones stay open. */
  stopAccepting(): void {
    this.server.close();
    for (const socket of this.handshakingSockets) socket.destroy();
  }

  /** Stops accepting and closes each connection once it is idle. */
  async closeWhenIdle(): Promise<void> {
    this.stopAccepting();
    await Promise.all(
      [...this.established].map(connection => connection.closeWhenIdle()),
    );
  }

  /** Stops accepting and closes all connections immediately. */
  close(reason: string): void {
    this.stopAccepting();
    for (const connection of [...this.established]) connection.close(reason);
  }

  /** Closes the oldest connection without a hello when there are too many. */
  private limitHandshakes(): void {
    const {maximumHandshakes = Infinity, metrics} = this.options;
    if (this.handshakingSockets.size < maximumHandshakes) return;
    const [oldest] = this.handshakingSockets;
    this.handshakingSockets.delete(oldest);
    oldest.destroy();
    metrics.count(
      'peer_handshakes_closed_total',
      'Peer connections closed before their hello because of their number.',
    );
  }

  private async accept(socket: net.Socket): Promise<void> {
    let connection: peerConnection.PeerConnection;
    this.limitHandshakes();
    this.handshakingSockets.add(socket);
    try {
      connection = await peerConnection.PeerConnection.open(
        socket,
        this.options,
        false,
      );
    } catch {
      return; // The connection has counted and logged the error.
    } finally {
      this.handshakingSockets.delete(socket);
    }
    if (connection.closed) return;
    this.established.add(connection);
    await connection.ended;
    this.established.delete(connection);
  }
}
