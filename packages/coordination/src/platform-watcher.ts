import * as runtime from '@camphorwharf/runtime';
import type * as configurationStore from './configuration-store.js';
import type * as hostDirectory from './host-directory.js';
import type * as platformReader from './platform-reader.js';

/** How long a long-polling read waits at the platform for a newer revision. */
export const LONG_POLL_TIMEOUT_MS = 20_000;

/** Interval of checking whether this daemon has to read the platform. */
const ROLE_CHECK_INTERVAL_MS = 500;

/** Prevents a busy loop when the platform answers long polls immediately. */
const MINIMUM_READ_INTERVAL_MS = 10;

const BACK_OFF_MINIMUM_MS = 200;
const BACK_OFF_MAXIMUM_MS = 10_000;

/**
 * Maximum random delay of reads by daemons that are not readers. With 11,000
 * daemons and two reads each, the fleet stays at 1,830 reads/s, below 2,000.
 */
export const FALLBACK_JITTER_MS = 12_000;

/**
 * In which role this daemon reads the platform: as a reader of its availability
 * zone, as a fallback while it has no state or no contact with peers, or none.
 */
export type ReadRole = 'reader' | 'fallback' | 'none';

export interface PlatformWatcherOptions {
  readonly platform: platformReader.PlatformReader;
  readonly store: configurationStore.ConfigurationAccess;
  readonly directory: hostDirectory.HostDirectory;
  readonly role: (nowMs: number) => ReadRole;
  readonly fallbackJitterMs: number;
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
}

/** Reads document and host list from the platform while the role requires it. */
export class PlatformWatcher {
  constructor(private readonly options: PlatformWatcherOptions) {}

  async run(signal: AbortSignal): Promise<void> {
    const {store, directory, platform, clock} = this.options;
    await Promise.all([
      this.watchSubject('document', signal, async waitMs => {
        const read = await platform.readDocument(
          store.revision,
          waitMs,
          signal,
        );
        if (!read) return true;
        const nowMs = clock.monotonicMs();
        const result = store.offer(read.revision, read.document, nowMs);
        return result !== 'invalid' && result !== 'conflict';
      }),
      this.watchSubject('hosts', signal, async waitMs => {
        const list = await platform.readHosts(
          directory.hostList.revision,
          waitMs,
          signal,
        );
        if (list) directory.offerList(list, clock.monotonicMs());
        return true;
      }),
    ]);
  }

  /** @param read resolves to false when the answer could not be used. */
  private async watchSubject(
    subject: string,
    signal: AbortSignal,
    read: (waitMs: number) => Promise<boolean>,
  ): Promise<void> {
    const {clock, random, fallbackJitterMs} = this.options;
    let failures = 0;
    while (!signal.aborted) {
      const role = this.options.role(clock.monotonicMs());
      if (role === 'none') {
        await clock.delay(ROLE_CHECK_INTERVAL_MS, signal);
        continue;
      }
      if (role === 'fallback') {
        await clock.delay(random.next() * fallbackJitterMs, signal);
        if (signal.aborted) return;
        // A peer may have provided the state in the meantime.
        if (this.options.role(clock.monotonicMs()) === 'none') continue;
      }
      const startMs = clock.monotonicMs();
      const isUsable = await this.tryRead(subject, role, read);
      if (signal.aborted) return;
      failures = isUsable ? 0 : failures + 1;
      if (failures > 0) {
        await this.waitBeforeRetry(failures, signal);
      } else if (clock.monotonicMs() - startMs < MINIMUM_READ_INTERVAL_MS) {
        await clock.delay(MINIMUM_READ_INTERVAL_MS, signal);
      }
    }
  }

  /** @return false when the read failed or its answer could not be used. */
  private async tryRead(
    subject: string,
    role: ReadRole,
    read: (waitMs: number) => Promise<boolean>,
  ): Promise<boolean> {
    const {logger, metrics} = this.options;
    metrics.count('platform_reads_total', 'Reads of the platform', {
      subject,
      role,
    });
    try {
      return await read(role === 'reader' ? LONG_POLL_TIMEOUT_MS : 0);
    } catch (error) {
      metrics.count(
        'platform_read_failures_total',
        'Reads of the platform that failed',
        {subject},
      );
      logger.warn('platform-read-failed', {subject, error: String(error)});
      return false;
    }
  }

  /** Full jitter spreads the retries of daemons that saw the same failure. */
  private waitBeforeRetry(
    failures: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, random} = this.options;
    const maximumDelayMs = Math.min(
      BACK_OFF_MAXIMUM_MS,
      BACK_OFF_MINIMUM_MS * 2 ** Math.min(failures, 10),
    );
    return clock.delay(random.next() * maximumDelayMs, signal);
  }
}
