import type * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as coordination from '../index.js';
import * as fakeFleet from './fake-fleet.js';

const CALL = {importance: 1, rank: 0.5} as const;
const NONE: ReadonlySet<string> = new Set();

function createSelector(
  hosts: readonly declaration.HostEntry[],
  refusing: readonly string[] = [],
): coordination.TargetSelector {
  return new coordination.TargetSelector({
    availabilityZone: 'amman-a',
    directory: {liveHosts: () => hosts},
    thresholds: {passes: target => !refusing.includes(target)},
    random: new runtime.SeededRandom(987_654),
  });
}

function chosenIds(
  selector: coordination.TargetSelector,
  calls: number,
  nowMs: number,
  excluded = NONE,
): string[] {
  return Array.from({length: calls}, () => {
    const choice = selector.choose('catalogue', CALL, nowMs, excluded);
    return choice.kind === 'target' ? choice.host.hostId : choice.reason;
  });
}

const HOSTS = [0, 1, 2].map(fakeFleet.hostEntry);

// Guards against a wrong refusal reason, and against choosing a target that is
// known to refuse the call.
const reasonCases = [
  {
    name: 'no live host',
    hosts: [],
    refusing: [],
    excluded: [],
    expected: ['noTarget'],
  },
  {
    name: 'all hosts tried',
    hosts: HOSTS,
    refusing: [],
    excluded: ['host-0', 'host-1', 'host-2'],
    expected: ['targetUnavailable'],
  },
  {
    name: 'all thresholds refusing',
    hosts: HOSTS,
    refusing: ['host-0', 'host-1', 'host-2'],
    excluded: [],
    expected: ['overloaded'],
  },
  {
    name: 'one threshold passing',
    hosts: HOSTS,
    refusing: ['host-0', 'host-2'],
    excluded: [],
    expected: ['host-1'],
  },
  {
    name: 'one host not tried',
    hosts: HOSTS,
    refusing: [],
    excluded: ['host-0', 'host-1'],
    expected: ['host-2'],
  },
];
for (const {name, hosts, refusing, excluded, expected} of reasonCases) {
  test(`with ${name} the choice is ${expected[0]}`, t => {
    const selector = createSelector(hosts, refusing);
    const ids = chosenIds(selector, 50, 0, new Set(excluded));
    t.deepEqual([...new Set(ids)], expected);
  });
}

test('among equal targets, those in the same availability zone are preferred', t => {
  const ids = chosenIds(createSelector(HOSTS), 300, 0);
  const localCount = ids.filter(id => id === 'host-0').length;
  // Two of the three possible pairs contain the local host.
  t.true(localCount > 150 && localCount < 250, `${localCount} of 300`);
});

test('the less loaded of two targets is chosen', t => {
  const selector = createSelector(HOSTS.slice(0, 2));
  for (let call = 0; call < 3; call++) selector.noteStart('host-0', 0);
  t.deepEqual([...new Set(chosenIds(selector, 20, 0))], ['host-1']);
});

// Guards against load on a failing target, and against an ejection that lasts
// longer than the recovery time of 2 s.
test('a failing target is ejected, probed and readmitted within 2 s', t => {
  const selector = createSelector(HOSTS.slice(0, 2));
  for (let call = 0; call < 30; call++) {
    selector.noteStart('host-0', call);
    selector.noteEnd('host-0', 'failed', 1, call);
  }
  t.deepEqual([...new Set(chosenIds(selector, 20, 30))], ['host-1']);
  // The other target is busy, so the ejected one is chosen once it is allowed.
  for (let call = 0; call < 40; call++) selector.noteStart('host-1', 30);
  const choose = (nowMs: number) => chosenIds(selector, 1, nowMs)[0];
  let nowMs = 30;
  while (choose(nowMs) === 'host-1') nowMs += 10;
  t.true(nowMs <= 2_000);
  selector.noteStart('host-0', nowMs);
  t.is(choose(nowMs), 'host-1');
  selector.noteEnd('host-0', 'succeeded', 1, nowMs);
  t.is(choose(nowMs), 'host-0');
});

test('a service is still called when all its targets are ejected', t => {
  const selector = createSelector(HOSTS.slice(0, 1));
  for (let call = 0; call < 10; call++) {
    selector.noteStart('host-0', call);
    selector.noteEnd('host-0', 'failed', 1, call);
  }
  t.deepEqual(chosenIds(selector, 1, 10), ['host-0']);
});
