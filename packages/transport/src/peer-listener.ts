import * as net from 'node:net';
import * as peerConnection from './peer-connection.js';
import type * as options from './peer-options.js';

/**
 * A daemon of a full cell with its callers and relays has a few hundred
 * connections; a service that every host calls has some thousand.
 */
const DEFAULT_MAXIMUM_CONNECTIONS = 12_000;

export interface PeerListenerOptions extends options.PeerOptions {
  readonly maximumConnections?: number;
}

/** Accepts peer connections. Owns the listening socket and what it accepts. */
export class PeerListener {
  private readonly server: net.Server;
  private readonly open = new Set<peerConnection.PeerConnection>();
  /** Sockets whose hello has not arrived; a close must reach them too. */
  private readonly opening = new Set<net.Socket>();

  constructor(private readonly options: PeerListenerOptions) {
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

  /** The open connections whose hello has arrived. */
  get connections(): ReadonlySet<peerConnection.PeerConnection> {
    return this.open;
  }

  /** Starts to listen; port 0 chooses one. Resolves with the port. */
  listen(port: number, address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({port, host: address, backlog: 1_024}, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as net.AddressInfo).port);
      });
    });
  }

  /** Accepts no further connections; open ones continue. */
  stopAccepting(): void {
    this.server.close();
    for (const socket of this.opening) socket.destroy();
  }

  /** Stops accepting and closes each connection when its work is done. */
  async closeWhenIdle(): Promise<void> {
    this.stopAccepting();
    await Promise.all(
      [...this.open].map(connection => connection.closeWhenIdle()),
    );
  }

  /** Stops accepting and closes every connection at once. */
  close(reason: string): void {
    this.stopAccepting();
    for (const connection of [...this.open]) connection.close(reason);
  }

  private async accept(socket: net.Socket): Promise<void> {
    let connection: peerConnection.PeerConnection;
    this.opening.add(socket);
    try {
      connection = await peerConnection.PeerConnection.open(
        socket,
        this.options,
        false,
      );
    } catch {
      return; // Counted and logged by the connection.
    } finally {
      this.opening.delete(socket);
    }
    if (connection.closed) return;
    this.open.add(connection);
    await connection.ended;
    this.open.delete(connection);
  }
}
