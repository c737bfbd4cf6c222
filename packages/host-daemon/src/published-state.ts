import type * as routing from '@camphorwharf/routing';
import * as zod from 'zod';

/** Decodes what the platform publishes. Both methods throw on bad input. */
export interface StateDecoder {
  /** Throws when the text is no complete configuration. */
  configuration(text: string): routing.FleetConfiguration;
  /** Throws when the text names no backend server to use. */
  backendServer(instance: string, text: string): routing.BackendServer;
}

/** What a reader follows, each with connections and a freshness of its own. */
export type PublishedSubject = 'configuration' | 'servers';

/** One item as of one change of it. */
export interface ItemChange {
  /** The instance, for a backend server. */
  readonly key: string;
  /** The revision of the platform's store that this change made. */
  readonly revision: number;
  /** As published; null when the change was its deletion. */
  readonly text: string | null;
}

/** What a reader of the platform reports; texts are as published. */
export interface StateListener {
  configurationRead(text: string, nowMs: number): void;
  /**
   * The whole list. Items may be newer than `revision`, at which its reading
   * began; an item that is not in it was deleted by then or later.
   */
  serversListed(
    items: readonly ItemChange[],
    revision: number,
    nowMs: number,
  ): void;
  serverChanged(change: ItemChange, nowMs: number): void;
  /** Every change of the list up to this revision has been told. */
  serversFollowed(revision: number): void;
  /** Called after each answer and each failure of the platform. */
  contact(subject: PublishedSubject, succeeded: boolean, nowMs: number): void;
  /** How long a watch without changes should wait, in milliseconds. */
  readonly watchWaitMs: number;
}

/** Reads the platform until the signal aborts. */
export interface StateReader {
  run(listener: StateListener, signal: AbortSignal): Promise<void>;
}

const snapshotSchema = zod.object({
  /** Null when the sender knows none. */
  configuration: zod.string().nullable(),
  /** Key, text and revision of each item; text is null for a deletion. */
  servers: zod.array(
    zod.tuple([zod.string(), zod.string().nullable(), zod.int()]),
  ),
  /** The sender knows every change of the list up to this revision. */
  revision: zod.int(),
});

/** The state as one process hands it to another. */
export type StateSnapshot = Readonly<zod.output<typeof snapshotSchema>>;

/** Returns null when the text is no relayed state. */
export function parseSnapshot(text: string): StateSnapshot | null {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return null;
  }
  return snapshotSchema.safeParse(value).data ?? null;
}
