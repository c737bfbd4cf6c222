import type * as protocol from '@camphorwharf/protocol';

/** What `GET /status` reports. The command line reads these names. */
export interface DaemonStatus {
  readonly hostId: string;
  readonly incarnation: string;
  readonly service: string;
  readonly availabilityZone: string;
  /** Revision of the document in force; null before the first one. */
  readonly revision: number | null;
  /** SHA-256 digest of the document in force. */
  readonly digest: string | null;
  readonly hostListRevision: number;
  /** Name of this host's cell; null before the first document. */
  readonly cell: string | null;
  /** Adopted view of the cell, and whether this daemon may act under it. */
  readonly view: {
    readonly number: number;
    readonly proposer: string;
    readonly members: number;
    readonly active: boolean;
  } | null;
  readonly limits: {
    /** Learned concurrency of the local backend server. */
    readonly concurrency: number;
    /** Most calls that may wait for it. */
    readonly queue: number;
  };
  readonly sheddingThreshold: protocol.SheddingThreshold | null;
  readonly inFlight: number;
  readonly waiting: number;
  /** Calls of callers and of the local backend server not yet answered. */
  readonly callerCalls: number;
  readonly backendServer: 'up' | 'down' | 'leaving';
  readonly leaving: boolean;
}
