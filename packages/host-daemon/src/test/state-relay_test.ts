import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import test from 'ava';
import type * as peerReport from '../peer-report.js';
import * as stateRelay from '../state-relay.js';
import * as fixture from './fleet-state-fixture.js';

/** In force after two seconds, of which the reports take up to half of one. */
const LATEST_MS = 1_500;

function reportOf(
  host: string,
  configuration: number,
  revision: number,
): peerReport.PeerReport {
  return {
    host,
    incarnation: 'i-1',
    ageMs: 1,
    leaving: false,
    configuration,
    revision,
    uses: [],
    pressure: 0,
    downstreamPressure: 0,
    contact: null,
  };
}

/** A peer that answers state queries with this document, or never. */
function linkOf(document: string | null): transport.PeerLink {
  return {
    request: (): Promise<protocol.ControlReply> =>
      document === null
        ? new Promise(() => undefined)
        : Promise.resolve({
            kind: 'configurationAnswer',
            revision: 0,
            digest: '',
            document,
          }),
  } as unknown as transport.PeerLink;
}

function relayedBy(
  teach: (peer: ReturnType<typeof fixture.createState>) => void,
): string {
  const peer = fixture.createState();
  teach(peer);
  return JSON.stringify(peer.relayedState());
}

/** A host whose watches hang since it learnt of version 1 and revision 90. */
function behind() {
  const state = fixture.createState();
  fixture.hear(state, 0, 5_000);
  state.configurationRead(fixture.configurationText(1), 5_000);
  state.serversListed([fixture.change('one', 80)], 90, 5_000);
  const clock = new runtime.ManualClock(5_000);
  const logger = runtime.silentLogger;
  return {
    state,
    clock,
    relay: new stateRelay.StateRelay({state, clock, logger}),
  };
}

test('a host whose watches hang learns of changes from a peer', async t => {
  // Guards against changes that are in force late on a host that the platform
  // refuses, and against requests to leaving servers (CONFIG and DRAIN,
  // issue 16).
  const {clock, relay, state} = behind();
  const document = relayedBy(peer => {
    peer.configurationRead(fixture.configurationText(2), 0);
    peer.serversListed([fixture.change('one', 95, 'draining')], 95, 0);
  });
  relay.consider(reportOf('10.0.0.2', 2, 95), linkOf(document));
  await clock.advance(LATEST_MS);
  t.is(state.version, 2);
  t.deepEqual(fixture.candidates(state), []);
});

test('a peer that does not answer does not keep others from being asked', async t => {
  // Guards against a relay that waits for one peer whose link is silent.
  const {clock, relay, state} = behind();
  const document = relayedBy(peer =>
    peer.configurationRead(fixture.configurationText(2), 0),
  );
  relay.consider(reportOf('10.0.0.2', 2, 90), linkOf(null));
  relay.consider(reportOf('10.0.0.3', 2, 90), linkOf(document));
  await clock.advance(LATEST_MS);
  t.is(state.version, 2);
});

test('a change that the platform tells in time is not asked for', async t => {
  const {clock, relay, state} = behind();
  let asked = 0;
  const link = {request: () => Promise.reject(new Error(`${++asked}`))};
  relay.consider(
    reportOf('10.0.0.2', 1, 95),
    link as unknown as transport.PeerLink,
  );
  state.serverChanged(fixture.change('one', 95), 5_100);
  await clock.advance(LATEST_MS);
  t.is(asked, 0);
});

/** Guards against a state that another release or a fault has written. */
const UNREADABLE = {
  'no JSON': '{',
  'servers without revisions': JSON.stringify({
    configuration: null,
    servers: [['one', 'text']],
    revision: 95,
  }),
  'a revision that is no number': JSON.stringify({
    configuration: null,
    servers: [],
    revision: 'x',
  }),
};
for (const [name, document] of Object.entries(UNREADABLE)) {
  test(`a relayed state that cannot be read changes nothing: ${name}`, async t => {
    const {clock, relay, state} = behind();
    relay.consider(reportOf('10.0.0.2', 1, 95), linkOf(document));
    await clock.advance(LATEST_MS);
    t.deepEqual(fixture.candidates(state), ['one']);
  });
}
