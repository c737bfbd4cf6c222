import * as admission from '@camphorwharf/admission';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import test from 'ava';
import * as replayableBody from '../replayable-body.js';
import * as fakes from './fake-peers.js';

interface Case {
  /** The expected behaviour, used as the test title. */
  readonly title: string;
  /** Results of successive attempts; the last one repeats. */
  readonly answers: ReadonlyArray<
    (call: transport.OutgoingCall) => transport.PeerResult
  >;
  readonly idempotent?: boolean;
  readonly retries?: number;
  readonly ratio?: number;
  readonly hosts?: number;
  readonly closedPorts?: readonly number[];
  readonly cancelVerdict?: fakes.CancelVerdict | 'unreachable';
  readonly expected: string;
  /** Number of calls sent. */
  readonly sent: number;
  readonly queries?: number;
}

/** A refusing target returns all retries, since no downstream call ran. */
const overloaded = ({context}: transport.OutgoingCall) =>
  fakes.refusal('overloaded', false, context.retries);
const lost = () => fakes.lostAfterSend;
const succeeded = () => fakes.completed();

/**
 * Guards against calls that fail although another target can serve them,
 * retries beyond the budget, the ratio or the number of targets, a second run
 * of a call that may have run, and a result "not run" for such a call.
 */
const CASES: readonly Case[] = [
  {
    title: 'retries a refused call on another target',
    answers: [overloaded, overloaded, succeeded],
    expected: 'answer 200',
    sent: 3,
  },
  {
    title: 'stops when the retry budget is exhausted',
    answers: [overloaded],
    retries: 2,
    expected: 'refused overloaded',
    sent: 3,
  },
  {
    title: 'does not retry without a retry budget',
    answers: [overloaded],
    retries: 0,
    expected: 'refused overloaded',
    sent: 1,
  },
  {
    title: 'stops when the retry ratio of the service is exhausted',
    answers: [overloaded],
    ratio: 0.1,
    expected: 'refused overloaded',
    sent: 2,
  },
  {
    title: 'does not retry with a retry ratio of 0',
    answers: [overloaded],
    ratio: 0,
    expected: 'refused overloaded',
    sent: 1,
  },
  {
    title: 'tries each target only once',
    answers: [overloaded],
    hosts: 2,
    retries: 9,
    expected: 'refused overloaded',
    sent: 2,
  },
  {
    title: 'refuses a call without a target',
    answers: [succeeded],
    hosts: 0,
    expected: 'refused noTarget',
    sent: 0,
  },
  {
    title: 'does not retry a final refusal',
    answers: [() => fakes.refusal('overloaded', true), succeeded],
    expected: 'refused overloaded',
    sent: 1,
  },
  {
    title: 'does not retry a refusal that every target would return',
    answers: [() => fakes.refusal('deadlineTooShort'), succeeded],
    expected: 'refused deadlineTooShort',
    sent: 1,
  },
  {
    title: 'skips unreachable targets',
    answers: [succeeded],
    closedPorts: [0, 1],
    expected: 'answer 200',
    sent: 1,
  },
  {
    // Guards against a needless cancel query and against giving up the call.
    title: 'retries a call that was not sent without a cancel query',
    answers: [() => fakes.lostBeforeSend, succeeded],
    expected: 'answer 200',
    sent: 2,
  },
  {
    title: 'retries a lost call after proof that it never runs',
    answers: [lost, succeeded],
    cancelVerdict: 'neverStarts',
    expected: 'answer 200',
    sent: 2,
    queries: 1,
  },
  ...(['started', 'otherIncarnation', 'unreachable', undefined] as const).map(
    cancelVerdict => ({
      title: `does not retry a lost call after a cancel query with: ${cancelVerdict ?? 'no reply'}`,
      answers: [lost, succeeded],
      cancelVerdict,
      expected: 'unknown answerLost',
      sent: 1,
      queries: cancelVerdict === 'unreachable' ? 0 : 1,
    }),
  ),
  {
    title: 'does not retry a non-idempotent call with unknown outcome',
    answers: [() => fakes.unknownOutcome('backendServerFailed'), succeeded],
    expected: 'unknown backendServerFailed',
    sent: 1,
  },
  {
    title: 'retries a lost idempotent call',
    answers: [lost, () => fakes.unknownOutcome('answerTruncated'), succeeded],
    idempotent: true,
    // The retries lent to a lost attempt count as spent: 5 of these 9.
    retries: 9,
    expected: 'answer 200',
    sent: 3,
  },
  {
    title: 'reports an unknown outcome if an earlier attempt may have run',
    answers: [lost, overloaded],
    idempotent: true,
    expected: 'unknown answerLost',
    sent: 2,
  },
  {
    title: 'reports an unknown outcome despite a final refusal',
    answers: [lost, () => fakes.refusal('cancelled', true)],
    idempotent: true,
    expected: 'unknown answerLost',
    sent: 2,
  },
  {
    title: 'reports an unknown outcome when no target is left',
    answers: [lost, overloaded],
    idempotent: true,
    hosts: 2,
    retries: 9,
    expected: 'unknown answerLost',
    sent: 2,
  },
  {
    title: 'reports an unknown outcome despite unreachable targets',
    answers: [lost],
    idempotent: true,
    closedPorts: [1, 2, 3, 4],
    expected: 'unknown answerLost',
    sent: 1,
  },
];

for (const row of CASES) {
  test(`router: ${row.title}`, async t => {
    let next = 0;
    const peers = new fakes.FakePeers({
      ...row,
      answer: call =>
        row.answers[Math.min(next++, row.answers.length - 1)](call),
    });
    const request = fakes.outgoingRequest({
      context: {
        ...fakes.outgoingRequest().context,
        idempotent: row.idempotent ?? false,
      },
      budget: new admission.RequestRetryBudget(row.retries ?? 3),
      ...(row.ratio === undefined
        ? {}
        : {retryRatio: new admission.ServiceRetryRatio(row.ratio)}),
    });
    const result = await fakes.createRouter(peers).send(request);
    t.is(fakes.summary(result), row.expected);
    t.is(peers.calls.length, row.sent);
    t.is(new Set(peers.hostIds).size, row.sent, 'each target is tried once');
    t.is(peers.queries.length, row.queries ?? 0);
    if (result.kind === 'answer') await result.finished;
    t.is(peers.results.length, peers.startCount, 'each started attempt ends');
  });
}

test('router: the cancel query names the lost attempt and its incarnation', async t => {
  // Guards against proof for another attempt, after which the call runs twice.
  let next = 0;
  const peers = new fakes.FakePeers({
    answer: call => (next++ === 0 ? overloaded(call) : fakes.lostAfterSend),
    cancelVerdict: 'started',
  });
  await fakes.createRouter(peers).send(fakes.outgoingRequest());
  t.deepEqual(peers.queries, [
    {
      kind: 'cancelIfNotStarted',
      requestId: 'request-1',
      attempt: 2,
      incarnation: 'incarnation-of-host-1',
      sentAfterMs: 7_000,
    },
  ]);
});

test('router: refuses a call after its deadline', async t => {
  // Guards against sending a call for which the caller no longer waits.
  const clock = new runtime.ManualClock(5_000);
  const peers = new fakes.FakePeers({answer: succeeded});
  const result = await fakes
    .createRouter(peers, clock)
    .send(fakes.outgoingRequest({deadlineMs: 5_000}));
  t.is(fakes.summary(result), 'refused deadlineExpired');
  t.is(peers.calls.length, 0);
});

test('router: does not retry after the caller has disconnected', async t => {
  // Guards against retries whose answer no caller receives.
  const callerAbort = new AbortController();
  const peers = new fakes.FakePeers({
    answer: call => {
      callerAbort.abort();
      return overloaded(call);
    },
  });
  const request = fakes.outgoingRequest({signal: callerAbort.signal});
  await fakes.createRouter(peers).send(request);
  t.is(peers.calls.length, 1);
});

test('router: does not retry a call whose body exceeds the replay buffer', async t => {
  // Guards against a retry that sends only a part of a long body.
  const chunk = new Uint8Array(replayableBody.REPLAY_LIMIT_BYTES);
  const body = new replayableBody.ReplayableBody(
    (async function* () {
      yield chunk;
      yield chunk;
    })(),
  );
  await body.readAhead(chunk.byteLength);
  const reader = body.stream();
  await reader.next();
  await reader.next();
  const peers = new fakes.FakePeers({answer: overloaded});
  await fakes.createRouter(peers).send(fakes.outgoingRequest({body}));
  t.is(peers.calls.length, 1);
});

test('router: reports a leaving target', async t => {
  // Guards against further calls to a target that refused as it leaves.
  const leavingHosts: string[] = [];
  const peers = new fakes.FakePeers({
    answer: (_call, hostId) =>
      hostId === 'host-0' ? fakes.refusal('targetLeaving') : succeeded(),
  });
  const router = fakes.createRouter(peers, undefined, ({hostId}) =>
    leavingHosts.push(hostId),
  );
  t.is(fakes.summary(await router.send(fakes.outgoingRequest())), 'answer 200');
  t.deepEqual(leavingHosts, ['host-0']);
});

const CHAIN_DEPTH = 14;

for (const seed of [1, 2, 3, 4, 5, 6]) {
  for (const budget of [0, 3, 10]) {
    test(`router: retries of a call chain stay within one budget, seed ${seed}, budget ${budget}`, async t => {
      // Guards against retries that multiply over the hops of a call chain.
      const random = new runtime.SeededRandom(seed);
      for (let skip = 0; skip < 16; skip++) random.next();
      let attempts = 0;
      const attemptsAt = new Map<string, number>();
      let firstAttempts = 0;
      // Each attempt makes downstream calls and then fails in a retryable way.
      // All attempts after the first one of each call count as retries.
      const serve = async (
        call: transport.OutgoingCall,
      ): Promise<transport.PeerResult> => {
        attempts++;
        attemptsAt.set(call.path, (attemptsAt.get(call.path) ?? 0) + 1);
        const retries = new admission.RequestRetryBudget(call.context.retries);
        const {depth} = call.context;
        if (depth < CHAIN_DEPTH) {
          // Fan-out only in the first levels, to limit the size of the tree.
          const children = depth <= 3 ? 2 : 1;
          await Promise.all(
            Array.from({length: children}, (_, child) =>
              send(depth + 1, `${call.path}/${child}`, retries),
            ),
          );
        }
        const unspent = retries.remaining;
        if (random.next() < 0.3) return fakes.lostAfterSend;
        return fakes.refusal('overloaded', false, unspent);
      };
      const send = async (
        depth: number,
        path: string,
        retries: admission.RetryBudget,
      ): Promise<void> => {
        firstAttempts++;
        const peers = new fakes.FakePeers({answer: serve, hosts: 20});
        const context = {
          ...fakes.outgoingRequest().context,
          idempotent: true,
          depth,
        };
        const request = fakes.outgoingRequest({
          context,
          path,
          budget: retries,
        });
        await fakes.createRouter(peers).send(request);
      };
      await send(1, '', new admission.RequestRetryBudget(budget));
      t.true(attempts - firstAttempts <= budget, `${attempts}`);
      for (const count of attemptsAt.values()) t.true(count <= 1 + budget);
      if (budget > 0) t.true(attempts > firstAttempts);
    });
  }
}
