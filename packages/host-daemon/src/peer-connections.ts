import type * as transport from '@camphorwharf/transport';

export interface PeerConnectionsOptions {
  readonly ownAddress: string;
  readonly pool: transport.PeerPool;
  /** Connections that other daemons have opened to this one. */
  readonly acceptedConnections: () => ReadonlySet<transport.PeerLink>;
}

/**
 * Keeps one connection for each pair of daemons, which halves the number of
 * heartbeats: the daemon with the lower address opens it and both use it. A
 * daemon's host id on a connection is its address.
 */
export class PeerConnections implements transport.PeerConnector {
  /** The last used accepted connection of each daemon, by address. */
  private readonly lastAccepted = new Map<string, transport.PeerLink>();

  constructor(private readonly options: PeerConnectionsOptions) {}

  async connect(address: string, port: number): Promise<transport.PeerLink> {
    const {ownAddress, pool} = this.options;
    if (ownAddress > address) {
      const accepted = this.findAccepted(address);
      if (accepted) {
        pool.closeSharedWhenIdle(address, port);
        return accepted;
      }
    }
    return pool.connect(address, port);
  }

  connectUnshared(address: string, port: number): Promise<transport.PeerLink> {
    return this.options.pool.connectUnshared(address, port);
  }

  private findAccepted(address: string): transport.PeerLink | null {
    const last = this.lastAccepted.get(address);
    if (last && !last.closed) return last;
    for (const link of this.options.acceptedConnections()) {
      if (link.closed || link.remote.hostId !== address) continue;
      this.lastAccepted.set(address, link);
      return link;
    }
    this.lastAccepted.delete(address);
    return null;
  }
}
