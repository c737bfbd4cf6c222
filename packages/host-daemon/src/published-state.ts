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

/**
 * Eras are below this number. A restore of the platform's store increases the
 * era by one.
 */
export const ERA_LIMIT = 2 ** 31;

/** One change of one item of a list. */
export interface ItemChange {
  /** For a backend server, its instance; for an evacuation, the zone. */
  readonly key: string;
  /** Revision of the platform's store that this change created. */
  readonly revision: number;
  /** The published text; null for a deletion. */
  readonly text: string | null;
  /**
   * Whether the item is known from an earlier era only: the list of the new
   * era does not contain it, but it may be written again.
   */
  readonly isLapsed?: boolean;
}

/**
 * Receives what a reader reads from the platform; texts are as published. `era`
 * is that of the response that contained them.
 */
export interface StateListener {
  /** Era of the state in use; a reader discards responses of earlier ones. */
  readonly era: number;
  onConfigurationRead(text: string, nowMs: number, era: number): void;
  /**
   * Receives the whole list. `revision` is the one at which reading began:
   * listed items may be newer, and an item that is not listed was deleted at
   * this revision or later.
   */
  onServersListed(
    items: readonly ItemChange[],
    revision: number,
    nowMs: number,
    era: number,
  ): void;
  onServerChanged(change: ItemChange, nowMs: number, era: number): void;
  /** The same as `onServersListed` for the evacuations. */
  onEvacuationsListed(
    items: readonly ItemChange[],
    revision: number,
    nowMs: number,
    era: number,
  ): void;
  onEvacuationChanged(change: ItemChange, nowMs: number, era: number): void;
  /**
   * All changes of servers and evacuations up to this revision have been
   * delivered.
   */
  onServersSynced(revision: number, era: number): void;
  /** Called after each response and each failure of the platform. */
  onContact(subject: PublishedSubject, succeeded: boolean, nowMs: number): void;
  /** Whether, and for whom, this host calls the platform now. */
  readMode(nowMs: number): platformReading.ReadModeName;
}

/** Reads from the platform until the signal aborts. */
export interface StateReader {
  run(listener: StateListener, signal: AbortSignal): Promise<void>;
}

const eraSchema = zod.int().min(0).lt(ERA_LIMIT);

/** Key, text and revision of each item; the text is null for a deletion. */
const itemsSchema = zod.array(
  zod.tuple([zod.string(), zod.string().nullable(), zod.int()]),
);

const snapshotSchema = zod
  .object({
    /** Null if the sender has no configuration that the receiver needs. */
    configuration: zod.string().nullable(),
    /** Era in which the sender received the configuration. */
    configurationEra: eraSchema.default(0),
    /** Era of the lists; earlier releases do not send it. */
    era: eraSchema.default(0),
    servers: itemsSchema,
    /** Missing if the sender has no list of them, as in earlier releases. */
    evacuations: itemsSchema.optional(),
    /** The sender has all changes of the servers up to this revision. */
    revision: zod.int(),
    /** The same for the evacuations. */
    evacuationsRevision: zod.int().default(0),
    /**
     * If present, the lists have only the changes after this revision of the
     * same era; otherwise they are complete.
     */
    since: zod.int().optional(),
  })
  .refine(snapshot => snapshot.configurationEra <= snapshot.era);

/** The state that one process transfers to another, as it is sent. */
export type StateSnapshot = Readonly<zod.input<typeof snapshotSchema>>;

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

/** Encodes items for a snapshot. */
export function encodeItems(
  items: readonly ItemChange[],
): StateSnapshot['servers'] {
  return items.map(({key, text, revision}) => [key, text, revision]);
}

/** Decodes items of a snapshot. */
export function decodeItems(items: StateSnapshot['servers']): ItemChange[] {
  return items.map(([key, text, revision]) => ({key, text, revision}));
}

/** How recent the published state of a process is. */
export interface StatePosition {
  /** Era of the lists. */
  readonly era: number;
  /** Revision of the newest change of a backend server. */
  readonly revision: number;
  /** Revision of the newest change of an evacuation. */
  readonly evacuations: number;
  /** Era in which the newest configuration was received. */
  readonly configurationEra: number;
  /** Version of the newest configuration. */
  readonly configuration: number;
}
