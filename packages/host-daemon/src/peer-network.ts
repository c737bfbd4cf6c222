import * as transport from '@camphorwharf/transport';
import type * as hostDaemonOptions from './host-daemon-options.js';
import * as peerConnections from './peer-connections.js';
import * as peerTiming from './peer-timing.js';

export interface PeerNetworkOptions extends Pick<
  hostDaemonOptions.HostDaemonOptions,
  'clock' | 'logger' | 'metrics' | 'settings'
> {
  readonly incarnation: string;
  readonly handler: transport.PeerHandler;
  /** Bounds the bodies that peers send. */
  readonly bodyMemory: transport.BodyMemory;
  /** Phase of the heartbeats, in milliseconds. */
  readonly phaseMs: number;
  readonly hostCount: () => number;
}

/** The connections of this host's daemon to those of the other hosts. */
export interface PeerNetwork {
  readonly pool: transport.PeerPool;
  readonly listener: transport.PeerListener;
  readonly peers: peerConnections.PeerConnections;
}

export function createPeerNetwork(options: PeerNetworkOptions): PeerNetwork {
  const {hostCount, incarnation, phaseMs, settings} = options;
  const ownAddress = settings.callers.address;
  const peerOptions = {
    clock: options.clock,
    logger: options.logger,
    metrics: options.metrics,
    bodyMemory: options.bodyMemory,
    handler: options.handler,
    ...peerTiming.heartbeatOptions(phaseMs, hostCount),
    hello: {
      hostId: ownAddress,
      incarnation,
      service: settings.service,
      availabilityZone: settings.availabilityZone,
    },
    maximumHandshakes: settings.clientLimits.peerHandshakes,
  };
  const pool = new transport.PeerPool(peerOptions);
  const listener = new transport.PeerListener(peerOptions);
  const peers = new peerConnections.PeerConnections({
    ownAddress,
    pool,
    acceptedConnections: () => listener.connections,
  });
  return {pool, listener, peers};
}
