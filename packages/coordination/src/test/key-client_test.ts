import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as coordination from '../index.js';
import * as fakeFleet from './fake-fleet.js';

const DOCUMENT = JSON.parse(fakeFleet.documentText(1)) as ReturnType<
  NonNullable<coordination.KeyClientOptions['document']>
>;
const CLAIM = {
  organisation: 'sahab',
  idempotencyKey: '1-a',
  payloadDigest: 'd',
  requestId: 'r1',
};

/** Runs one claim against a sequence of replies; the last one is repeated. */
async function runClaim(
  replies: readonly coordination.OwnerReply[],
  advanceMs: number,
) {
  const clock = new runtime.ManualClock();
  const sent: protocol.ControlRequest[] = [];
  const client = new coordination.KeyClient({
    document: () => DOCUMENT,
    owners: {
      send: async (_cellId, _shard, body) => {
        sent.push(body);
        const claims = sent.filter(({kind}) => kind === 'keyClaim').length;
        await clock.delay(1);
        return replies[Math.min(claims, replies.length) - 1];
      },
    },
    clock,
    logger: runtime.silentLogger,
    metrics: new runtime.Metrics(),
  });
  const verdict = client.claim(CLAIM, 0);
  await clock.advance(advanceMs);
  return {verdict: await verdict, sent};
}

const answerReply = (
  verdict: protocol.KeyAnswer['verdict'],
): coordination.OwnerReply => ({
  kind: 'reply',
  reply: {kind: 'keyAnswer', verdict},
});

// Guards against sending a call without a claim, and against a claim that is
// never released after its answer was lost.
const claimCases = [
  {
    name: 'the owner claims',
    replies: [answerReply({kind: 'claimed'})],
    expected: {kind: 'claimed'},
    releases: false,
  },
  {
    name: 'the key is in progress',
    replies: [answerReply({kind: 'inProgress'})],
    expected: {kind: 'inProgress'},
    releases: false,
  },
  {
    name: 'the first answer is lost',
    replies: [{kind: 'failed'}, answerReply({kind: 'claimed'})],
    expected: {kind: 'claimed'},
    releases: false,
  },
  {
    name: 'the owner changes',
    replies: [
      {kind: 'notOwner'},
      {kind: 'notOwner'},
      answerReply({kind: 'claimed'}),
    ],
    expected: {kind: 'claimed'},
    releases: false,
  },
  {
    name: 'nobody answers',
    replies: [{kind: 'failed'}],
    expected: 'unavailable',
    releases: true,
  },
] as const;
for (const {name, replies, expected, releases} of claimCases) {
  test(`a claim gives ${JSON.stringify(expected)} when ${name}`, async t => {
    const {verdict, sent} = await runClaim(replies, 1_100);
    t.deepEqual(verdict, expected);
    const release = sent.find(({kind}) => kind === 'keySettle');
    t.is(release !== undefined, releases);
    if (releases) t.like(release, {requestId: 'r1', result: {kind: 'notRun'}});
  });
}

for (const seed of [81_001, 82_002, 83_003]) {
  // Guards against a key that two owners grant to two requests.
  test(`a key is claimed at most once across owner failures (seed ${seed})`, async t => {
    const fleet = new fakeFleet.FakeFleet(seed, {cell: true});
    fleet.publishDocument(1);
    fleet.publishHosts([0, 1, 2].map(fakeFleet.hostEntry));
    for (const index of [0, 1, 2]) fleet.start(index);
    await fleet.clock.advance(10_000);
    const random = fleet.createRandom();
    const claimedBy = new Map<string, Set<string>>();
    const verdicts: Record<string, number> = {};
    const keys: string[] = [];
    for (let step = 0; step < 1_500; step++) {
      if (step % 500 === 200) fleet.stop(step % 3);
      if (step % 500 === 300) {
        fleet.start((step - 100) % 3, ['host-0', 'host-1', 'host-2']);
      }
      if (step % 3 === 0) {
        // The clock of a caller may be ahead of the owner's clock.
        const aheadMs = runtime.randomInteger(random, 5_500);
        keys.push(`${fleet.clock.wallMs() + aheadMs}-key${step}`);
      }
      const key =
        keys[
          keys.length -
            1 -
            runtime.randomInteger(random, Math.min(60, keys.length))
        ];
      const entries = [...fleet.daemons.values()];
      const entry = entries[runtime.randomInteger(random, entries.length)];
      const requestId = `request-${step}`;
      const claim = {...CLAIM, idempotencyKey: key, requestId};
      void entry.keys.claim(claim, fleet.clock.monotonicMs()).then(verdict => {
        const name = verdict === 'unavailable' ? verdict : verdict.kind;
        verdicts[name] = (verdicts[name] ?? 0) + 1;
        if (name !== 'claimed') return;
        const requests = claimedBy.get(key) ?? new Set();
        claimedBy.set(key, requests.add(requestId));
      });
      await fleet.clock.advance(25);
    }
    await fleet.clock.advance(2_000);
    t.deepEqual(
      [...claimedBy.values()].filter(requests => requests.size > 1),
      [],
    );
    t.log(JSON.stringify(verdicts));
    t.true((verdicts['claimed'] ?? 0) > 100);
    t.true((verdicts['inProgress'] ?? 0) > 100);
    t.true((verdicts['olderThanOwner'] ?? 0) > 0);
    fleet.stopAll();
  });
}
