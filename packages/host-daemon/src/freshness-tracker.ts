import type * as runtime from '@camphorwharf/runtime';
import * as contactTracker from './contact-tracker.js';
import type * as publishedState from './published-state.js';

/** The contact of a process with the platform, as reported to its peers. */
export interface ContactReport {
  /** Milliseconds since the platform last confirmed the configuration to it. */
  readonly configurationAgeMs: number;
  /** The same for the list of backend servers. */
  readonly serversAgeMs: number;
  /**
   * Milliseconds of contact without a gap for the list, including contacts that
   * peers reported.
   */
  readonly serversContactMs: number;
}

interface SubjectContacts {
  /** Responses received by this process itself. */
  readonly own: contactTracker.ContactTracker;
  /** Responses received by this process or reported by peers. */
  readonly fleet: contactTracker.ContactTracker;
  connected: boolean | null;
}

/**
 * Tracks how recent the knowledge of each published subject is. A process that
 * the platform refuses can rely on the reports of its peers. The ages that a
 * process reports are based on its own contact only, so that reports passed
 * around in a cycle cannot make old state look recent.
 */
export class FreshnessTracker {
  private readonly contacts: Readonly<
    Record<publishedState.PublishedSubject, SubjectContacts>
  >;

  constructor(
    options: contactTracker.ContactTrackerOptions,
    private readonly logger: runtime.Logger,
  ) {
    const create = (): SubjectContacts => ({
      own: new contactTracker.ContactTracker(options),
      fleet: new contactTracker.ContactTracker(options),
      connected: null,
    });
    this.contacts = {configuration: create(), servers: create()};
  }

  /** Milliseconds since the platform last confirmed the configuration. */
  configurationAgeMs(nowMs: number): number {
    return this.contacts.configuration.fleet.ageMs(nowMs);
  }

  isConfigurationFresh(nowMs: number): boolean {
    return this.contacts.configuration.fleet.isFresh(nowMs);
  }

  /**
   * Whether a missing entry proves that its backend server is gone, because it
   * cannot have expired in an outage of the platform.
   */
  isListAuthoritative(nowMs: number): boolean {
    return this.contacts.servers.fleet.isAuthoritative(nowMs);
  }

  report(nowMs: number): ContactReport {
    const {configuration, servers} = this.contacts;
    return {
      configurationAgeMs: configuration.own.ageMs(nowMs),
      serversAgeMs: servers.own.ageMs(nowMs),
      serversContactMs: servers.fleet.durationMs(nowMs),
    };
  }

  /**
   * Records the contact of a peer. A peer with an older configuration proves
   * nothing about a newer one.
   */
  recordPeerReport(
    report: ContactReport,
    isConfigurationCurrent: boolean,
    nowMs: number,
  ): void {
    const {configuration, servers} = this.contacts;
    const {configurationAgeMs, serversAgeMs, serversContactMs} = report;
    if (isConfigurationCurrent) {
      configuration.fleet.recordContact(nowMs - configurationAgeMs);
    }
    servers.fleet.recordContact(
      nowMs - serversAgeMs,
      serversContactMs - serversAgeMs,
    );
  }

  /** Records a response or a failure of the platform. */
  recordPlatformResult(
    subject: publishedState.PublishedSubject,
    succeeded: boolean,
    nowMs: number,
  ): void {
    const contacts = this.contacts[subject];
    const silentMs = Math.round(contacts.own.ageMs(nowMs));
    if (succeeded) {
      contacts.own.recordContact(nowMs);
      contacts.fleet.recordContact(nowMs);
    }
    if (contacts.connected === succeeded) return;
    contacts.connected = succeeded;
    const fields = Number.isFinite(silentMs) ? {subject, silentMs} : {subject};
    if (succeeded) this.logger.info('platform-regained', fields);
    else this.logger.warn('platform-lost', fields);
  }

  /** Discards all contact times. */
  reset(): void {
    for (const {own, fleet} of Object.values(this.contacts)) {
      own.reset();
      fleet.reset();
    }
  }
}
