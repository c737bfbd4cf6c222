import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import type * as fixtures from './fleet-fixture.js';
import * as helpers from './test-helpers.js';

/** Time within which a change must take effect. */
const APPLY_LIMIT_MS = 2_000;

/** The other hosts stay in contact with the platform at this interval. */
const CONTACT_INTERVAL_MS = 300;

/** Time after which reports by hosts that have left would have ended. */
const UNLISTED_FOR_MS = 3_000;

const HOSTS = 3;

function nowMs(): number {
  return new runtime.SystemClock().monotonicMs();
}

/**
 * Guards against a daemon that is the last to know that the backend server
 * beside it has left, or that a key has been revoked: its peers reported to
 * listed hosts only, and it had no access to the platform.
 */
for (let position = 0; position < HOSTS; position++) {
  test(`host ${position + 1} of ${HOSTS} hears from its peers after its server has left`, async t => {
    const fixture = await helpers.startFleet(HOSTS);
    const cutOff = fixture.hosts[position];
    const others = fixture.hosts.filter(host => host !== cutOff);
    const contact = setInterval(() => {
      for (const host of others) {
        const listener = fixture.listenerOf(host);
        listener.onContact('configuration', true, nowMs());
        listener.onContact('servers', true, nowMs());
      }
    }, CONTACT_INTERVAL_MS);
    t.teardown(() => {
      clearInterval(contact);
      fixture.close();
    });
    // All hosts have reported to each other.
    await new Promise(resolve => setTimeout(resolve, 1_500));
    fixture.listServers(others, others);
    t.true(await isLogged(cutOff, 'backend-server-removed'));
    await new Promise(resolve => setTimeout(resolve, UNLISTED_FOR_MS));
    fixture.publishConfiguration(2, {}, {keys: ['key-2']}, others);
    t.true(
      await isLogged(
        cutOff,
        'configuration-in-force',
        fields => fields?.['version'] === 2,
      ),
    );
    const {status} = await fixture.request(cutOff, '/parts/7');
    t.is(status, 401);
  });
}

/** Whether a daemon logs an event within the time for a change. */
async function isLogged(
  host: fixtures.FixtureHost,
  event: string,
  matches: (fields?: runtime.LogFields) => boolean = () => true,
): Promise<boolean> {
  const startMs = nowMs();
  while (nowMs() - startMs < APPLY_LIMIT_MS) {
    const line = host.logLines.find(
      logLine => logLine.event === event && matches(logLine.fields),
    );
    if (line) return true;
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  return false;
}
