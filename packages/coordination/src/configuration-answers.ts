import type * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import * as compression from './compression.js';
import * as configurationDelta from './configuration-delta.js';
import type * as configurationStore from './configuration-store.js';
import type * as hostDirectory from './host-directory.js';
import type * as extensions from './message-extensions.js';

/** Number of recent documents, and of host lists, kept as bases of deltas. */
const MAXIMUM_DELTA_BASES = 4;

interface DocumentBase {
  readonly digest: string;
  readonly document: declaration.PublishedDocument;
}

export interface ConfigurationAnswersOptions {
  readonly store: configurationStore.ConfigurationAccess;
  readonly directory: hostDirectory.HostDirectory;
  readonly clock: runtime.Clock;
  readonly metrics: runtime.Metrics;
}

/** Caches the last result, as relay peers request the same one concurrently. */
class LatestResultCache<T> {
  private key: string | null = null;
  private result: Promise<T> | null = null;

  get(key: string, create: () => Promise<T>): Promise<T> {
    if (!this.result || this.key !== key) {
      this.key = key;
      this.result = create();
    }
    return this.result;
  }
}

/** Creates and applies answers that carry a newer document or host list. */
export class ConfigurationAnswers {
  private readonly compressedDocuments = new LatestResultCache<Uint8Array>();
  private readonly compressedHostLists = new LatestResultCache<Uint8Array>();
  private readonly compressedDocumentDeltas =
    new LatestResultCache<Uint8Array>();
  private readonly compressedHostListDeltas =
    new LatestResultCache<Uint8Array>();
  private documentBases: readonly DocumentBase[] = [];
  private hostListBases: readonly declaration.HostList[] = [];
  /** Set when a delta could not be applied, to request the full state. */
  private needsFullState = false;

  constructor(private readonly options: ConfigurationAnswersOptions) {
    const {store, directory} = options;
    store.onAdopted(() => {
      const current = store.current;
      if (!current) return;
      const {digest, document} = current;
      this.documentBases = [{digest, document}, ...this.documentBases].slice(
        0,
        MAXIMUM_DELTA_BASES,
      );
    });
    directory.onListAdopted(() => {
      this.hostListBases = [directory.hostList, ...this.hostListBases].slice(
        0,
        MAXIMUM_DELTA_BASES,
      );
    });
  }

  /** Creates a summary of the local revisions for a peer. */
  createDigest(): extensions.ConfigurationDigestWithHosts {
    const {store, directory} = this.options;
    return {
      kind: 'configurationDigest',
      revision: store.revision,
      digest: store.digest,
      hostListRevision: directory.hostList.revision,
      ...(this.needsFullState && {wantsWhole: true}),
    };
  }

  /** Creates an answer with everything newer than the peer's digest. */
  async createAnswer(
    message: extensions.ConfigurationDigestWithHosts,
  ): Promise<extensions.ConfigurationAnswerWithHosts> {
    const {store, directory} = this.options;
    return {
      kind: 'configurationAnswer',
      revision: store.revision,
      digest: store.digest,
      document: null,
      ...(await this.newerDocumentFields(message)),
      hostListRevision: directory.hostList.revision,
      ...(await this.newerHostListFields(message)),
    };
  }

  /** Offers newer content to the local state. Throws on a corrupt answer. */
  async applyAnswer(
    answer: extensions.ConfigurationAnswerWithHosts,
  ): Promise<void> {
    const {store, directory, clock, metrics} = this.options;
    const text = await this.decodeDocument(answer);
    if (text !== null) {
      store.offer(answer.revision, text, clock.monotonicMs());
    } else if (
      answer.revision === store.revision &&
      answer.digest !== store.digest
    ) {
      metrics.count(
        'configuration_conflicts_total',
        'Peers seen with another document under the same revision',
      );
    }
    const list = await this.decodeHostList(answer);
    if (list) directory.offerList(list, clock.monotonicMs());
  }

  private async newerDocumentFields(
    message: extensions.ConfigurationDigestWithHosts,
  ): Promise<Partial<extensions.ConfigurationAnswerWithHosts>> {
    const current = this.options.store.current;
    if (!current || current.revision <= message.revision) return {};
    const {text} = current;
    if (text.length <= compression.COMPRESSION_THRESHOLD_CHARACTERS) {
      return {document: text};
    }
    const base = this.documentBases.find(
      ({digest}) => digest === message.digest,
    );
    if (base && !message.wantsWhole) {
      const documentDelta = await this.compressedDocumentDeltas.get(
        `${base.digest}|${current.digest}`,
        () =>
          compression.compress(
            JSON.stringify(
              configurationDelta.createDocumentDelta(
                base.document,
                base.digest,
                current.document,
              ),
            ),
          ),
      );
      return {documentDelta};
    }
    const compressedDocument = await this.compressedDocuments.get(
      current.digest,
      () => compression.compress(text),
    );
    return {compressedDocument};
  }

  private async newerHostListFields(
    message: extensions.ConfigurationDigestWithHosts,
  ): Promise<extensions.HostListOffer> {
    const {hostListRevision} = message;
    const list = this.options.directory.hostList;
    if (hostListRevision === undefined || list.revision <= hostListRevision) {
      return {};
    }
    const base = this.hostListBases.find(
      ({revision}) => revision === hostListRevision,
    );
    if (base && !message.wantsWhole) {
      const hostListDelta = await this.compressedHostListDeltas.get(
        `${base.revision}|${list.revision}`,
        () =>
          compression.compress(
            JSON.stringify(configurationDelta.createHostListDelta(base, list)),
          ),
      );
      return {hostListDelta};
    }
    const hostList = await this.compressedHostLists.get(
      `${list.revision}`,
      () => compression.compress(JSON.stringify(list)),
    );
    return {hostList};
  }

  private async decodeDocument(
    answer: extensions.ConfigurationAnswerWithHosts,
  ): Promise<string | null> {
    if (answer.compressedDocument) {
      this.needsFullState = false;
      return compression.decompress(answer.compressedDocument);
    }
    if (!answer.documentDelta) return answer.document;
    const delta = JSON.parse(
      await compression.decompress(answer.documentDelta),
    ) as configurationDelta.DocumentDelta;
    const current = this.options.store.current;
    if (current && current.revision >= delta.revision) return null;
    if (current?.digest === delta.baseDigest) {
      const text = configurationDelta.applyDocumentDelta(
        current.document,
        delta,
      );
      if (runtime.sha256Hex(text) === answer.digest) return text;
    }
    this.handleUnusableDelta('document');
    return null;
  }

  private async decodeHostList(
    answer: extensions.ConfigurationAnswerWithHosts,
  ): Promise<declaration.HostList | null> {
    if (answer.hostList) {
      this.needsFullState = false;
      return JSON.parse(
        await compression.decompress(answer.hostList),
      ) as declaration.HostList;
    }
    if (!answer.hostListDelta) return null;
    const delta = JSON.parse(
      await compression.decompress(answer.hostListDelta),
    ) as configurationDelta.HostListDelta;
    const current = this.options.directory.hostList;
    if (current.revision >= delta.revision) return null;
    const list = configurationDelta.applyHostListDelta(current, delta);
    if (!list) this.handleUnusableDelta('hostList');
    return list;
  }

  private handleUnusableDelta(subject: 'document' | 'hostList'): void {
    this.needsFullState = true;
    this.options.metrics.count(
      'configuration_deltas_unusable_total',
      'Deltas that could not be applied, so that everything is asked for',
      {subject},
    );
  }
}
