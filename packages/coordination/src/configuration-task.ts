import type * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import * as compression from './compression.js';
import * as configurationAnswers from './configuration-answers.js';
import type * as configurationStore from './configuration-store.js';
import type * as hostDirectory from './host-directory.js';
import type * as extensions from './message-extensions.js';
import * as peerRequests from './peer-requests.js';
import type * as platformReader from './platform-reader.js';
import * as platformWatcher from './platform-watcher.js';
import * as relayPeers from './relay-peers.js';

/** Interval between digest exchanges with the relay peers. */
export const EXCHANGE_INTERVAL_MS = 1_000;

/** Timeout of one request to a peer. */
const EXCHANGE_TIMEOUT_MS = 900;

/** Time after which another random peer is chosen. */
const RANDOM_PEER_LIFETIME_MS = 10_000;

/** Time without an answer from any peer after which the platform is read. */
const ISOLATION_TIMEOUT_MS = 5_000;

/** A peer address from the settings, used before a host list is known. */
export interface SeedPeer {
  readonly address: string;
  readonly port: number;
}

export interface ConfigurationTaskOptions {
  /** The host entry of this daemon according to its settings. */
  readonly self: declaration.HostEntry;
  readonly store: configurationStore.ConfigurationAccess;
  readonly directory: hostDirectory.HostDirectory;
  readonly peers: transport.PeerConnector;
  readonly platform: platformReader.PlatformReader;
  readonly seeds: readonly SeedPeer[];
  /** Maximum random delay of platform reads by a daemon without peers. */
  readonly fallbackJitterMs?: number;
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
}

/** Keeps the document and host list up to date by gossip with relay peers. */
export class ConfigurationTask {
  private readonly platformWatcher: platformWatcher.PlatformWatcher;
  private readonly answers: configurationAnswers.ConfigurationAnswers;
  private relayHosts: readonly declaration.HostEntry[] = [];
  private relayHostsStale = true;
  private randomPeer: declaration.HostEntry | null = null;
  private randomPeerSinceMs = -Infinity;
  private isReader = false;
  private lastPeerAnswerMs: number;
  private pullInProgress = false;
  private wakeExchangeLoop: (() => void) | null = null;

  constructor(private readonly options: ConfigurationTaskOptions) {
    this.lastPeerAnswerMs = options.clock.monotonicMs();
    this.answers = new configurationAnswers.ConfigurationAnswers(options);
    this.platformWatcher = new platformWatcher.PlatformWatcher({
      ...options,
      role: nowMs => this.role(nowMs),
      fallbackJitterMs:
        options.fallbackJitterMs ??
        (options.seeds.length > 0 ? platformWatcher.FALLBACK_JITTER_MS : 500),
    });
    options.store.onAdopted(() => this.wakeExchangeLoop?.());
    options.directory.onListAdopted(() => {
      this.relayHostsStale = true;
      this.wakeExchangeLoop?.();
    });
  }

  /** Runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.platformWatcher.run(signal),
      this.exchangeLoop(signal),
    ]);
  }

  /** Whether this daemon reads the platform now, and why. */
  role(nowMs: number): platformWatcher.ReadRole {
    this.refreshRelayHosts(nowMs);
    if (this.isReader) return 'reader';
    const {store, directory} = this.options;
    const lacksState = !store.current || directory.hostList.revision === 0;
    const isIsolated = nowMs - this.lastPeerAnswerMs > ISOLATION_TIMEOUT_MS;
    return lacksState || isIsolated ? 'fallback' : 'none';
  }

  /** Answers with newer content; pulls from a peer that is ahead. */
  async answerDigest(
    message: extensions.ConfigurationDigestWithHosts,
    link: transport.PeerLink,
  ): Promise<extensions.ConfigurationAnswerWithHosts> {
    const {store, directory} = this.options;
    if (
      message.revision > store.revision ||
      (message.hostListRevision ?? 0) > directory.hostList.revision
    ) {
      void this.pullFrom(link);
    }
    return this.answers.createAnswer(message);
  }

  /** Offers the pushed document to the store; answers with the new revision. */
  async answerPush(
    message: protocol.ConfigurationPush,
  ): Promise<extensions.ConfigurationAnswerWithHosts> {
    const {store, clock} = this.options;
    store.offer(message.revision, message.document, clock.monotonicMs());
    return {
      kind: 'configurationAnswer',
      revision: store.revision,
      digest: store.digest,
      document: null,
    };
  }

  /** Exchanges digests with peers each second and after each adoption. */
  private async exchangeLoop(signal: AbortSignal): Promise<void> {
    const {clock, random, store} = this.options;
    let pushedRevision = store.revision;
    while (!signal.aborted) {
      const nowMs = clock.monotonicMs();
      this.refreshRelayHosts(nowMs);
      const pushDocument = store.revision > pushedRevision;
      pushedRevision = store.revision;
      const timer = new AbortController();
      const wake = () => timer.abort();
      this.wakeExchangeLoop = wake;
      signal.addEventListener('abort', wake, {once: true});
      for (const peer of this.exchangePeers()) {
        void this.exchangeWith(peer, pushDocument);
      }
      // Jitter desynchronises daemons that started at the same time.
      const jitter = 0.9 + 0.2 * random.next();
      await clock.delay(EXCHANGE_INTERVAL_MS * jitter, timer.signal);
      signal.removeEventListener('abort', wake);
      this.wakeExchangeLoop = null;
    }
  }

  private exchangePeers(): Array<declaration.HostEntry | SeedPeer> {
    const {seeds, directory} = this.options;
    const hosts = this.randomPeer
      ? [...this.relayHosts, this.randomPeer]
      : this.relayHosts;
    if (hosts.length > 0 && directory.hostList.revision > 0) return [...hosts];
    // Without a host list, only the seed peers from the settings are known.
    return [...seeds];
  }

  private async exchangeWith(
    peer: declaration.HostEntry | SeedPeer,
    pushDocument: boolean,
  ): Promise<void> {
    const {store, logger} = this.options;
    try {
      const link = await this.connect(peer);
      const current = store.current;
      if (
        pushDocument &&
        current &&
        current.text.length <= compression.COMPRESSION_THRESHOLD_CHARACTERS
      ) {
        await link.request(
          {
            kind: 'configurationPush',
            revision: current.revision,
            document: current.text,
          },
          EXCHANGE_TIMEOUT_MS,
        );
      }
      await this.requestUpdate(link);
    } catch (error) {
      logger.debug('configuration-exchange-failed', {error: String(error)});
    }
  }

  private async connect(
    peer: declaration.HostEntry | SeedPeer,
  ): Promise<transport.PeerLink> {
    const {peers, directory, clock} = this.options;
    if (!('hostId' in peer)) {
      return peers.connect(peer.address, peer.port);
    }
    try {
      return await peerRequests.connectToHost(peers, peer);
    } catch (error) {
      if (peerRequests.isUnreachableError(error)) {
        directory.noteUnreachable(peer.hostId, clock.monotonicMs());
        this.relayHostsStale = true;
      }
      throw error;
    }
  }

  /** Pulls newer content. Concurrent pulls are skipped: peers repeat digests. */
  private async pullFrom(link: transport.PeerLink): Promise<void> {
    if (this.pullInProgress) return;
    this.pullInProgress = true;
    try {
      await this.requestUpdate(link);
    } catch (error) {
      this.options.logger.debug('configuration-pull-failed', {
        error: String(error),
      });
    } finally {
      this.pullInProgress = false;
    }
  }

  private async requestUpdate(link: transport.PeerLink): Promise<void> {
    const reply = await link.request(
      this.answers.createDigest(),
      EXCHANGE_TIMEOUT_MS,
    );
    if (reply.kind !== 'configurationAnswer') return;
    this.lastPeerAnswerMs = this.options.clock.monotonicMs();
    await this.answers.applyAnswer(reply);
  }

  private refreshRelayHosts(nowMs: number): void {
    const {directory, random, self} = this.options;
    if (nowMs - this.randomPeerSinceMs >= RANDOM_PEER_LIFETIME_MS) {
      this.relayHostsStale = true;
    }
    if (!this.relayHostsStale) return;
    this.relayHostsStale = false;
    const hosts = directory.availableHosts(nowMs);
    const otherHosts = hosts.filter(host => host.hostId !== self.hostId);
    this.relayHosts = relayPeers.chooseRelays(self, otherHosts);
    this.randomPeer =
      otherHosts[runtime.randomInteger(random, otherHosts.length)] ?? null;
    this.randomPeerSinceMs = nowMs;
    this.isReader = relayPeers.isReader(
      self.hostId,
      self.availabilityZone,
      hosts,
    );
  }
}
