import type * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';

export type OfferResult = 'adopted' | 'older' | 'same' | 'conflict' | 'invalid';

export type ParseDocument = (
  text: string,
) =>
  | {readonly ok: true; readonly document: declaration.PublishedDocument}
  | {readonly ok: false; readonly problems: readonly unknown[]};

export interface ConfigurationStoreOptions<Index> {
  readonly parse: ParseDocument;
  readonly createIndex: (document: declaration.PublishedDocument) => Index;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
}

/** The active document with its digest and the index derived from it. */
export interface ActiveConfiguration<Index> {
  readonly revision: number;
  readonly digest: string;
  readonly text: string;
  readonly document: declaration.PublishedDocument;
  readonly index: Index;
  readonly adoptedAtMs: number;
}

/** The part of the store that the tasks use, independent of the index type. */
export interface ConfigurationAccess {
  readonly current: Omit<ActiveConfiguration<unknown>, 'index'> | null;
  readonly revision: number;
  readonly digest: string;
  onAdopted(listener: () => void): void;
  offer(revision: number, text: string, nowMs: number): OfferResult;
}

/** Holds the last valid document; its revision never decreases. */
export class ConfigurationStore<
  Index = unknown,
> implements ConfigurationAccess {
  private active: ActiveConfiguration<Index> | null = null;
  private lastInvalidDigest: string | null = null;
  private readonly listeners = new Set<
    (current: ActiveConfiguration<Index>) => void
  >();

  constructor(private readonly options: ConfigurationStoreOptions<Index>) {}

  get current(): ActiveConfiguration<Index> | null {
    return this.active;
  }

  /** Revision of the active document; 0 before the first one. */
  get revision(): number {
    return this.active?.revision ?? 0;
  }

  /** Digest of the active document; empty before the first one. */
  get digest(): string {
    return this.active?.digest ?? '';
  }

  /** Calls `listener` after each newly adopted document. */
  onAdopted(listener: (current: ActiveConfiguration<Index>) => void): void {
    this.listeners.add(listener);
  }

  /** Adopts a document of the platform or a peer if it is newer and valid. */
  offer(revision: number, text: string, nowMs: number): OfferResult {
    const result = this.evaluateOffer(revision, text, nowMs);
    this.options.metrics.count(
      'configuration_offers_total',
      'Published documents offered to this daemon by result',
      {result},
    );
    return result;
  }

  private evaluateOffer(
    revision: number,
    text: string,
    nowMs: number,
  ): OfferResult {
    if (revision < this.revision) return 'older';
    const digest = runtime.sha256Hex(text);
    if (this.active && revision === this.active.revision) {
      if (digest === this.active.digest) return 'same';
      this.options.logger.error('configuration-conflict', {revision, digest});
      return 'conflict';
    }
    if (digest === this.lastInvalidDigest) return 'invalid';
    const parsed = this.options.parse(text);
    if (!parsed.ok || parsed.document.revision !== revision) {
      this.lastInvalidDigest = digest;
      this.options.logger.error('configuration-invalid', {
        revision,
        problems: parsed.ok
          ? ['The document contains a different revision.']
          : parsed.problems.slice(0, 5),
      });
      return 'invalid';
    }
    this.active = {
      revision,
      digest,
      text,
      document: parsed.document,
      index: this.options.createIndex(parsed.document),
      adoptedAtMs: nowMs,
    };
    this.options.metrics.gauge(
      'configuration_revision',
      'Revision of the document in force',
      revision,
    );
    this.options.logger.info('configuration-adopted', {revision});
    for (const listener of this.listeners) listener(this.active);
    return 'adopted';
  }
}
