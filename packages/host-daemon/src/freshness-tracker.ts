import type * as runtime from '@camphorwharf/runtime';
import * as contactTracker from './contact-tracker.js';
import type * as publishedState from './published-state.js';

/** What one process tells others of its own contact with the platform. */
export interface ContactReport {
  /** Milliseconds since it heard of the configuration. */
  readonly configurationAgeMs: number;
  /** The same for the list of backend servers. */
  readonly serversAgeMs: number;
  /** For how long it or its peers have heard of the list without a gap. */
  readonly serversContactMs: number;
}

interface SubjectContacts {
  /** Answers to this process itself. */
  readonly own: contactTracker.ContactTracker;
  /** Those and the ones that peers report. */
  readonly fleet: contactTracker.ContactTracker;
  connected: boolean | null;
}

/**
 * How recent the knowledge of each published subject is. A process that the
 * platform turns away learns from its peers that their knowledge is recent.
 * The time of the last word that it passes on is of its own, so that no word
 * seems recent because it goes in circles.
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

  /** Milliseconds since the platform last told of the configuration. */
  configurationAgeMs(nowMs: number): number {
    return this.contacts.configuration.fleet.ageMs(nowMs);
  }

  isConfigurationFresh(nowMs: number): boolean {
    return this.contacts.configuration.fleet.isFresh(nowMs);
  }

  /** Whether an entry that is not listed has not only lapsed. */
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
   * Takes in the contact of a peer. One that knows an older configuration
   * proves nothing of a newer one.
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

  /** Notes an answer or a failure of the platform. */
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

  /** Nothing that was heard before counts as recent any more. */
  reset(): void {
    for (const {own, fleet} of Object.values(this.contacts)) {
      own.reset();
      fleet.reset();
    }
  }
}
