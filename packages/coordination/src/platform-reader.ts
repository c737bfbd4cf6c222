import type * as declaration from '@camphorwharf/declaration';

/** Reads of the platform; each throws when the platform cannot be read. */
export interface PlatformReader {
  /** Resolves to null when nothing newer appeared within the wait. */
  readDocument(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<{readonly revision: number; readonly document: string} | null>;
  readHosts(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<declaration.HostList | null>;
}
