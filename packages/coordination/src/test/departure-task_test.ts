import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import test from 'ava';
import * as coordination from '../index.js';

interface FakePeer {
  readonly answers: boolean;
  readonly notices: protocol.ControlRequest[];
}

function createLink(peer: FakePeer, clock: runtime.Clock): transport.PeerLink {
  const link: Partial<transport.PeerLink> = {
    request: async body => {
      peer.notices.push(body);
      // A silent peer does not answer, and the fake link has no timeout.
      await clock.delay(peer.answers ? 1 : 3_600_000);
      return {kind: 'acknowledged'};
    },
  };
  return link as transport.PeerLink;
}

// Guards against a shutdown that skips a peer, blocks on a silent peer, ends
// before the running calls, or never ends.
const cases = [
  {
    name: 'all peers answer',
    answers: [true, true],
    callsEndMs: 300,
    unfinished: 0,
    announcedTo: 2,
  },
  {
    name: 'one peer is silent',
    answers: [true, false],
    callsEndMs: 900,
    unfinished: 0,
    announcedTo: 1,
  },
  {
    name: 'calls do not end',
    answers: [true],
    callsEndMs: Infinity,
    unfinished: 2,
    announcedTo: 1,
  },
];
for (const {name, answers, callsEndMs, unfinished, announcedTo} of cases) {
  test(`a departure when ${name} leaves ${unfinished} calls`, async t => {
    const clock = new runtime.ManualClock();
    const order: string[] = [];
    const peers = answers.map(answer => ({answers: answer, notices: []}));
    const departure = new coordination.DepartureTask({
      hostId: 'host-1',
      links: () => peers.map(peer => createLink(peer, clock)),
      cell: {leave: async () => void order.push('leave')},
      limits: {returnGrants: async () => void order.push('return')},
      stopAccepting: () => void order.push('stop'),
      runningCalls: () => (clock.monotonicMs() < callsEndMs ? 2 : 0),
      clock,
      logger: runtime.silentLogger,
    });
    let endedMs = -1;
    const report = departure.run(5_000).then(result => {
      endedMs = clock.monotonicMs();
      return result;
    });
    t.true(departure.isLeaving);
    for (const {notices} of peers) {
      t.deepEqual(notices, [{kind: 'leaving', hostId: 'host-1'}]);
    }
    void departure.run(5_000);
    await clock.advance(6_000);
    t.like(await report, {announcedTo, unfinishedCalls: unfinished});
    t.true(endedMs >= Math.min(callsEndMs, 5_000) && endedMs <= 5_100);
    t.deepEqual(order, ['stop', 'return', 'leave']);
  });
}
