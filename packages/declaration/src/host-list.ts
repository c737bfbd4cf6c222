export const HostState = {live: 'live', leaving: 'leaving'} as const;
export type HostStateName = (typeof HostState)[keyof typeof HostState];

/** One host in the list that the platform publishes. */
export interface HostEntry {
  readonly hostId: string;
  readonly address: string;
  /** Port for the peer protocol. */
  readonly peerPort: number;
  /** Port for HTTP requests of callers. */
  readonly callerPort: number;
  readonly service: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly state: HostStateName;
}

/** The published list of live and leaving hosts; it may be out of date. */
export interface HostList {
  readonly revision: number;
  readonly hosts: readonly HostEntry[];
}
