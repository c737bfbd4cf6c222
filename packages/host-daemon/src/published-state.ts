import type * as routing from '@camphorwharf/routing';
import * as zod from 'zod';
import type * as platformReading from './platform-reading.js';

/** Decodes what the platform publishes. */
export interface StateDecoder {
  /** Throws if the text is not a complete configuration. */
  configuration(text: string): routing.FleetConfiguration;
  /** Throws if the text does not describe a usable backend server. */
  backendServer(instance: string, text: string): routing.BackendServer;
}

/**
 * The subjects a reader follows; each has its own connections and freshness.
 */
export type PublishedSubject = 'configuration' | 'servers';

/** One change of one item of the list. */
export interface ItemChange {
  /** For a backend server, its instance. */
  readonly key: string;
  /** Revision of the platform's store that this change created. */
  readonly revision: number;
  /** The published text; null for a deletion. */
  readonly text: string | null;
}

/** Receives what a reader reads from the platform; texts are as published. */
export interface StateListener {
  onConfigurationRead(text: string, nowMs: number): void;
  /**
   * Receives the whole list. `revision` is the one at which reading began:
   * listed items may be newer, and an item that is not listed was deleted at
   * this revision or later.
   */
  onServersListed(
    items: readonly ItemChange[],
    revision: number,
    nowMs: number,
  ): void;
  onServerChanged(change: ItemChange, nowMs: number): void;
  /** All changes of the list up to this revision have been delivered. */
  onServersSynced(revision: number): void;
  /** Called after each response and each failure of the platform. */
  onContact(subject: PublishedSubject, succeeded: boolean, nowMs: number): void;
  /** Whether, and for whom, this host calls the platform now. */
  readMode(nowMs: number): platformReading.ReadModeName;
}

/** Reads from the platform until the signal aborts. */
export interface StateReader {
  run(listener: StateListener, signal: AbortSignal): Promise<void>;
}

const snapshotSchema = zod.object({
  /** Null if the sender has no configuration. */
  configuration: zod.string().nullable(),
  /** Key, text and revision of each item; the text is null for a deletion. */
  servers: zod.array(
    zod.tuple([zod.string(), zod.string().nullable(), zod.int()]),
  ),
  /** The sender has all changes of the list up to this revision. */
  revision: zod.int(),
  /**
   * If present, `servers` has only the changes after this revision; otherwise
   * it is the whole list.
   */
  since: zod.int().optional(),
});

/** The state that one process transfers to another. */
export type StateSnapshot = Readonly<zod.output<typeof snapshotSchema>>;

/** Returns null if the text is not a valid snapshot. */
export function parseSnapshot(text: string): StateSnapshot | null {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return null;
  }
  return snapshotSchema.safeParse(value).data ?? null;
}
