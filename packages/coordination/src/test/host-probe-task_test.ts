import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import test from 'ava';
import * as coordination from '../index.js';
import * as fakeFleet from './fake-fleet.js';

// Guards against excluding a host that has returned, and against readmitting a
// leaving process because its port still answers.
const cases = [
  {
    name: 'a leaving process that still answers',
    incarnation: 'i1',
    sign: 'leaving',
    live: false,
  },
  {
    name: 'a new process of a host that left',
    incarnation: 'i2',
    sign: 'leaving',
    live: true,
  },
  {
    name: 'a suspected host that answers',
    incarnation: 'i1',
    sign: 'suspected',
    live: true,
  },
  {
    name: 'a suspected host that does not answer',
    incarnation: null,
    sign: 'suspected',
    live: false,
  },
  {
    name: 'a suspected host whose address another host uses',
    incarnation: 'i1',
    sign: 'suspected',
    live: false,
    hostId: 'host-9',
  },
] as const;
for (const {name, incarnation, sign, live, ...other} of cases) {
  test(`probes ${live ? 'readmit' : 'keep excluding'} ${name}`, async t => {
    const clock = new runtime.ManualClock();
    const directory = new coordination.HostDirectory({
      logger: runtime.silentLogger,
      metrics: new runtime.Metrics(),
    });
    const hosts = [0, 1].map(fakeFleet.hostEntry);
    directory.offerList({revision: 1, hosts}, 0);
    if (sign === 'leaving') directory.noteLeaving('host-1', 'i1', 'notice', 0);
    else directory.noteUnreachable('host-1', 0);
    const connect = async () => {
      if (incarnation === null) {
        throw new runtime.ConnectionError('Nothing listens there.');
      }
      const hostId = 'hostId' in other ? other.hostId : 'host-1';
      return {remote: {hostId, incarnation}} as transport.PeerLink;
    };
    const stop = new AbortController();
    void new coordination.HostProbeTask({
      directory,
      peers: {connect, connectUnshared: connect},
      clock,
      random: new runtime.SeededRandom(777_777),
    }).run(stop.signal);
    await clock.advance(4_000);
    const ids = directory
      .liveHosts('catalogue', clock.monotonicMs())
      .map(({hostId}) => hostId);
    t.deepEqual(ids, live ? ['host-0', 'host-1'] : ['host-0']);
    stop.abort();
  });
}
