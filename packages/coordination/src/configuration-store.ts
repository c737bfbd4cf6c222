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

/** The document in force with what was derived from it. */
export interface ConfigurationInForce<Index> {
  readonly revision: number;
  readonly digest: string;
  readonly text: string;
  readonly document: declaration.PublishedDocument;
  readonly index: Index;
  readonly sinceMs: number;
}

/** What the tasks need of the store, whatever its index is. */
export interface ConfigurationAccess {
  readonly current: Omit<ConfigurationInForce<unknown>, 'index'> | null;
  readonly revision: number;
  readonly digest: string;
  onAdopted(listener: () => void): void;
  offer(revision: number, text: string, nowMs: number): OfferResult;
}

/** Holds the last valid document; its revision never decreases. */
export class ConfigurationStore<
  Index = unknown,
> implements ConfigurationAccess {
  private inForce: ConfigurationInForce<Index> | null = null;
  private invalidDigest: string | null = null;
  private readonly listeners = new Set<
    (current: ConfigurationInForce<Index>) => void
  >();

  constructor(private readonly options: ConfigurationStoreOptions<Index>) {}

  get current(): ConfigurationInForce<Index> | null {
    return this.inForce;
  }

  /** 0 before the first document. */
  get revision(): number {
    return this.inForce?.revision ?? 0;
  }

  get digest(): string {
    return this.inForce?.digest ?? '';
  }

  /** Calls `listener` after each adoption. */
  onAdopted(listener: (current: ConfigurationInForce<Index>) => void): void {
    this.listeners.add(listener);
  }

  /** Takes a published document from the platform or a peer. */
  offer(revision: number, text: string, nowMs: number): OfferResult {
    const result = this.decide(revision, text, nowMs);
    this.options.metrics.count(
      'configuration_offers_total',
      'Published documents offered to this daemon by result',
      {result},
    );
    return result;
  }

  private decide(revision: number, text: string, nowMs: number): OfferResult {
    if (revision < this.revision) return 'older';
    const digest = runtime.sha256Hex(text);
    if (this.inForce && revision === this.inForce.revision) {
      if (digest === this.inForce.digest) return 'same';
      this.options.logger.error('configuration-conflict', {revision, digest});
      return 'conflict';
    }
    if (digest === this.invalidDigest) return 'invalid';
    const parsed = this.options.parse(text);
    if (!parsed.ok || parsed.document.revision !== revision) {
      this.invalidDigest = digest;
      this.options.logger.error('configuration-invalid', {
        revision,
        problems: parsed.ok
          ? ['The document states another revision.']
          : parsed.problems.slice(0, 5),
      });
      return 'invalid';
    }
    this.inForce = {
      revision,
      digest,
      text,
      document: parsed.document,
      index: this.options.createIndex(parsed.document),
      sinceMs: nowMs,
    };
    this.options.metrics.gauge(
      'configuration_revision',
      'Revision of the document in force',
      revision,
    );
    this.options.logger.info('configuration-adopted', {revision});
    for (const listener of this.listeners) listener(this.inForce);
    return 'adopted';
  }
}
