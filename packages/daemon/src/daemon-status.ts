import type * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as daemonParts from './daemon-parts.js';
import type * as settingsFile from './settings.js';

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

/** What the status is made of. */
export interface StatusSources {
  readonly settings: settingsFile.Settings;
  readonly incarnation: string;
  readonly coordination: Pick<
    daemonParts.CoordinationParts,
    'store' | 'directory' | 'cell'
  >;
  readonly controller: admission.AdmissionController;
  readonly callerCalls: number;
  readonly backendServer: 'up' | 'down' | 'leaving';
  readonly stopping: boolean;
}

export function reportStatus(
  sources: StatusSources,
  nowMs: number,
): DaemonStatus {
  const {settings, controller, backendServer, stopping} = sources;
  const {store, directory, cell} = sources.coordination;
  const membership = cell.membership;
  const view = membership?.adopted ?? null;
  const policy = store.current?.index.servicePolicy(settings.service);
  return {
    hostId: settings.host_id,
    incarnation: sources.incarnation,
    service: settings.service,
    availabilityZone: settings.availability_zone,
    revision: store.current?.revision ?? null,
    digest: store.current?.digest ?? null,
    hostListRevision: directory.hostList.revision,
    cell: membership?.cell ?? null,
    view: membership &&
      view && {
        ...view.identity,
        members: view.members.length,
        active: membership.createPing(nowMs).active,
      },
    limits: {
      concurrency: controller.concurrencyLimit,
      queue: policy?.maximumQueue ?? 0,
    },
    sheddingThreshold: controller.threshold(nowMs),
    inFlight: controller.inFlight,
    waiting: controller.waiting,
    callerCalls: sources.callerCalls,
    backendServer,
    leaving: stopping || backendServer === 'leaving',
  };
}
