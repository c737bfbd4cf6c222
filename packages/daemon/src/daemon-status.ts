import type * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as daemonComponents from './daemon-components.js';
import type * as settingsFile from './settings.js';

/** Response body of `GET /status`. The command line reads these fields. */
export interface DaemonStatus {
  readonly hostId: string;
  readonly incarnation: string;
  readonly service: string;
  readonly availabilityZone: string;
  /** Revision of the adopted document; null before the first one. */
  readonly revision: number | null;
  /** SHA-256 digest of the adopted document. */
  readonly digest: string | null;
  readonly hostListRevision: number;
  /** Name of the cell of this host; null before the first document. */
  readonly cell: string | null;
  /** Adopted cell view, and whether this daemon may act on it. */
  readonly view: {
    readonly number: number;
    readonly proposer: string;
    readonly members: number;
    readonly active: boolean;
  } | null;
  readonly limits: {
    /** Adaptive concurrency limit of the local backend server. */
    readonly concurrency: number;
    /** Maximum number of calls queued for it. */
    readonly queue: number;
  };
  readonly sheddingThreshold: protocol.SheddingThreshold | null;
  readonly inFlight: number;
  readonly waiting: number;
  /** Running calls from callers and from the local backend server. */
  readonly callerCalls: number;
  readonly backendServer: 'up' | 'down' | 'leaving';
  readonly leaving: boolean;
}

/** Components and values from which the status is built. */
export interface StatusSources {
  readonly settings: settingsFile.Settings;
  readonly incarnation: string;
  readonly coordination: Pick<
    daemonComponents.CoordinationComponents,
    'store' | 'directory' | 'cell'
  >;
  readonly controller: admission.AdmissionController;
  readonly callerCalls: number;
  readonly backendServer: 'up' | 'down' | 'leaving';
  readonly stopping: boolean;
}

export function createStatus(
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
