import type * as declaration from '@camphorwharf/declaration';

/** Long-polling reads of the platform. Methods throw when a read fails. */
export interface PlatformReader {
  /** Resolves to null when no newer document appears within `waitMs`. */
  readDocument(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<{readonly revision: number; readonly document: string} | null>;
  /** Resolves to null when no newer host list appears within `waitMs`. */
  readHosts(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<declaration.HostList | null>;
}
