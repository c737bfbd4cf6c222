import type * as runtime from '@camphorwharf/runtime';
import * as contactTracker from './contact-tracker.js';
import type * as platformReading from './platform-reading.js';
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
  /**
   * Milliseconds since the platform last confirmed the configuration to a peer
   * that has told this process itself.
   */
  readonly relayedConfigurationAgeMs: number;
  /** The same for the list of backend servers. */
  readonly relayedServersAgeMs: number;
}

interface SubjectContacts {
  /** Responses received by this process itself. */
  readonly own: contactTracker.ContactTracker;
  /** Responses received by peers, as these have reported themselves. */
  readonly relayed: contactTracker.ContactTracker;
  /** All responses that peers have reported, also those of their peers. */
  readonly peers: contactTracker.ContactTracker;
  /** Responses received by this process or reported by peers. */
  readonly fleet: contactTracker.ContactTracker;
  connected: boolean | null;
}

/**
 * Tracks how recent the knowledge of each published subject is. A process that
 * the platform refuses can rely on the reports of its peers. A process reports
 * its own contact and, apart from it, that of the peers that it heard it from.
 * Reports are passed on no further, so that reports in a cycle cannot make old
 * state look recent.
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
      relayed: new contactTracker.ContactTracker(options),
      peers: new contactTracker.ContactTracker(options),
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

  /** The greater of the ages of both subjects. */
  contactAges(nowMs: number): platformReading.ContactAges {
    const {configuration, servers} = this.contacts;
    return {
      ownMs: Math.max(configuration.own.ageMs(nowMs), servers.own.ageMs(nowMs)),
      peersMs: Math.max(
        configuration.peers.ageMs(nowMs),
        servers.peers.ageMs(nowMs),
      ),
    };
  }

  report(nowMs: number): ContactReport {
    const {configuration, servers} = this.contacts;
    return {
      configurationAgeMs: configuration.own.ageMs(nowMs),
      serversAgeMs: servers.own.ageMs(nowMs),
      serversContactMs: servers.fleet.durationMs(nowMs),
      relayedConfigurationAgeMs: configuration.relayed.ageMs(nowMs),
      relayedServersAgeMs: servers.relayed.ageMs(nowMs),
    };
  }

  /**
   * Records the contact of a peer. A peer with another configuration proves
   * nothing about the one of this process.
   */
  recordPeerReport(
    report: ContactReport,
    isConfigurationCurrent: boolean,
    nowMs: number,
  ): void {
    const {configuration, servers} = this.contacts;
    const {configurationAgeMs, serversAgeMs, serversContactMs} = report;
    const {relayedConfigurationAgeMs, relayedServersAgeMs} = report;
    if (isConfigurationCurrent) {
      const contactMs = nowMs - configurationAgeMs;
      configuration.relayed.recordContact(contactMs);
      for (const tracker of [configuration.peers, configuration.fleet]) {
        tracker.recordContact(contactMs);
        tracker.recordContact(nowMs - relayedConfigurationAgeMs);
      }
    }
    const ageMs = Math.min(serversAgeMs, relayedServersAgeMs);
    servers.relayed.recordContact(nowMs - serversAgeMs);
    servers.peers.recordContact(nowMs - ageMs);
    servers.fleet.recordContact(nowMs - ageMs, serversContactMs - ageMs);
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

  /**
   * Makes the list authoritative only after a new time of contact, because the
   * platform's store may have lost entries of live backend servers.
   */
  restartList(): void {
    this.contacts.servers.fleet.reset();
  }

  /** Discards all contact times. */
  reset(): void {
    for (const subject of Object.values(this.contacts)) {
      subject.own.reset();
      subject.relayed.reset();
      subject.peers.reset();
      subject.fleet.reset();
    }
  }
}
