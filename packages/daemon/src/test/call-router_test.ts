import * as admission from '@camphorwharf/admission';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import test from 'ava';
import * as replayableBody from '../replayable-body.js';
import * as fakes from './fake-peers.js';

interface Case {
  /** The failure that the case guards against. */
  readonly guards: string;
  /** Results of the attempts in turn; the last one repeats. */
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
  /** Calls that were sent. */
  readonly sent: number;
  readonly queries?: number;
}

/** A refusing target returns the whole share, since nothing below ran. */
const overloaded = ({context}: transport.OutgoingCall) =>
  fakes.refusal('overloaded', false, context.retries);
const lost = () => fakes.lostAfterSend;
const done = () => fakes.completed();

const CASES: readonly Case[] = [
  {
    guards: 'a refusal is not retried on another target',
    answers: [overloaded, overloaded, done],
    expected: 'answer 200',
    sent: 3,
  },
  {
    guards: 'retries pass the budget',
    answers: [overloaded],
    retries: 2,
    expected: 'refused overloaded',
    sent: 3,
  },
  {
    guards: 'a call without a budget is retried',
    answers: [overloaded],
    retries: 0,
    expected: 'refused overloaded',
    sent: 1,
  },
  {
    guards: 'retries pass the ratio of the service',
    answers: [overloaded],
    ratio: 0.1,
    expected: 'refused overloaded',
    sent: 2,
  },
  {
    guards: 'a ratio of 0 permits a retry',
    answers: [overloaded],
    ratio: 0,
    expected: 'refused overloaded',
    sent: 1,
  },
  {
    guards: 'one target is tried twice',
    answers: [overloaded],
    hosts: 2,
    retries: 9,
    expected: 'refused overloaded',
    sent: 2,
  },
  {
    guards: 'a call without a target is sent',
    answers: [done],
    hosts: 0,
    expected: 'refused noTarget',
    sent: 0,
  },
  {
    guards: 'a final refusal is retried',
    answers: [() => fakes.refusal('overloaded', true), done],
    expected: 'refused overloaded',
    sent: 1,
  },
  {
    guards: 'a refusal that another target repeats is retried',
    answers: [() => fakes.refusal('deadlineTooShort'), done],
    expected: 'refused deadlineTooShort',
    sent: 1,
  },
  {
    guards: 'an unreachable target ends the call',
    answers: [done],
    closedPorts: [0, 1],
    expected: 'answer 200',
    sent: 1,
  },
  {
    guards: 'a call that never left is queried or given up',
    answers: [() => fakes.lostBeforeSend, done],
    expected: 'answer 200',
    sent: 2,
  },
  {
    guards: 'proof that the call never runs is not used',
    answers: [lost, done],
    cancelVerdict: 'neverStarts',
    expected: 'answer 200',
    sent: 2,
    queries: 1,
  },
  ...(['started', 'otherIncarnation', 'unreachable', undefined] as const).map(
    cancelVerdict => ({
      guards: `a second target runs the call after: ${cancelVerdict ?? 'no reply'}`,
      answers: [lost, done],
      cancelVerdict,
      expected: 'unknown answerLost',
      sent: 1,
      queries: cancelVerdict === 'unreachable' ? 0 : 1,
    }),
  ),
  {
    guards: 'a non-idempotent call with unknown outcome is sent again',
    answers: [() => fakes.unknownOutcome('backendServerFailed'), done],
    expected: 'unknown backendServerFailed',
    sent: 1,
  },
  {
    guards: 'a lost idempotent call is not sent again',
    answers: [lost, () => fakes.unknownOutcome('answerTruncated'), done],
    idempotent: true,
    // The share of a lost attempt counts as spent, 5 of these 9.
    retries: 9,
    expected: 'answer 200',
    sent: 3,
  },
  {
    guards: 'not run is reported though an earlier attempt may have run',
    answers: [lost, overloaded],
    idempotent: true,
    expected: 'unknown answerLost',
    sent: 2,
  },
  {
    guards: 'a final refusal hides that an earlier attempt may have run',
    answers: [lost, () => fakes.refusal('cancelled', true)],
    idempotent: true,
    expected: 'unknown answerLost',
    sent: 2,
  },
  {
    guards: 'not run is reported after doubt because targets ran out',
    answers: [lost, overloaded],
    idempotent: true,
    hosts: 2,
    retries: 9,
    expected: 'unknown answerLost',
    sent: 2,
  },
  {
    guards: 'unreachable targets hide that an earlier attempt may have run',
    answers: [lost],
    idempotent: true,
    closedPorts: [1, 2, 3, 4],
    expected: 'unknown answerLost',
    sent: 1,
  },
];

for (const row of CASES) {
  test(`router: guards against: ${row.guards}`, async t => {
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
    t.is(fakes.brief(result), row.expected);
    t.is(peers.calls.length, row.sent);
    t.is(new Set(peers.hostIds).size, row.sent, 'each target once');
    t.is(peers.queries.length, row.queries ?? 0);
    if (result.kind === 'answer') await result.finished;
    t.is(peers.ends.length, peers.started, 'each start has its end');
  });
}

test('router: guards against a query that names another attempt or incarnation', async t => {
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
    },
  ]);
});

test('router: guards against a call that is sent after its deadline', async t => {
  const clock = new runtime.ManualClock(5_000);
  const peers = new fakes.FakePeers({answer: done});
  const result = await fakes
    .createRouter(peers, clock)
    .send(fakes.outgoingRequest({deadlineMs: 5_000}));
  t.is(fakes.brief(result), 'refused deadlineExpired');
  t.is(peers.calls.length, 0);
});

test('router: guards against a retry after the caller has gone', async t => {
  const gone = new AbortController();
  const peers = new fakes.FakePeers({
    answer: call => {
      gone.abort();
      return overloaded(call);
    },
  });
  const request = fakes.outgoingRequest({signal: gone.signal});
  await fakes.createRouter(peers).send(request);
  t.is(peers.calls.length, 1);
});

test('router: guards against a retry with a part of a long body', async t => {
  const chunk = new Uint8Array(replayableBody.REPLAY_LIMIT_BYTES);
  const body = new replayableBody.ReplayableBody(
    (async function* () {
      yield chunk;
      yield chunk;
    })(),
  );
  await body.readAhead(chunk.byteLength);
  const reader = body.open();
  await reader.next();
  await reader.next();
  const peers = new fakes.FakePeers({answer: overloaded});
  await fakes.createRouter(peers).send(fakes.outgoingRequest({body}));
  t.is(peers.calls.length, 1);
});

test('router: guards against a leaving target that is not noted', async t => {
  const left: string[] = [];
  const peers = new fakes.FakePeers({
    answer: (_call, hostId) =>
      hostId === 'host-0' ? fakes.refusal('targetLeaving') : done(),
  });
  const router = fakes.createRouter(peers, undefined, ({hostId}) =>
    left.push(hostId),
  );
  t.is(fakes.brief(await router.send(fakes.outgoingRequest())), 'answer 200');
  t.deepEqual(left, ['host-0']);
});

const DEPTH = 14;

for (const seed of [1, 2, 3, 4, 5, 6]) {
  for (const budget of [0, 3, 10]) {
    test(`router: guards against retries that multiply over a chain, seed ${seed}, budget ${budget}`, async t => {
      const random = new runtime.SeededRandom(seed);
      for (let skip = 0; skip < 16; skip++) random.next();
      let attempts = 0;
      const attemptsAt = new Map<string, number>();
      let firstAttempts = 0;
      // Each attempt runs a hop that fans out, and fails in one of the ways
      // that permit a retry. Retries are the attempts beyond the first ones.
      const serve = async (
        call: transport.OutgoingCall,
      ): Promise<transport.PeerResult> => {
        attempts++;
        attemptsAt.set(call.path, (attemptsAt.get(call.path) ?? 0) + 1);
        const own = new admission.RequestRetryBudget(call.context.retries);
        const {depth} = call.context;
        if (depth < DEPTH) {
          // Two children in the first levels keep the tree small enough.
          const children = depth <= 3 ? 2 : 1;
          await Promise.all(
            Array.from({length: children}, (_, child) =>
              send(depth + 1, `${call.path}/${child}`, own),
            ),
          );
        }
        const unspent = own.left;
        if (random.next() < 0.3) return fakes.lostAfterSend;
        return fakes.refusal('overloaded', false, unspent);
      };
      const send = async (
        depth: number,
        path: string,
        own: admission.RetryBudget,
      ): Promise<void> => {
        firstAttempts++;
        const peers = new fakes.FakePeers({answer: serve, hosts: 20});
        const context = {
          ...fakes.outgoingRequest().context,
          idempotent: true,
          depth,
        };
        const request = fakes.outgoingRequest({context, path, budget: own});
        await fakes.createRouter(peers).send(request);
      };
      await send(1, '', new admission.RequestRetryBudget(budget));
      t.true(attempts - firstAttempts <= budget, `${attempts}`);
      for (const count of attemptsAt.values()) t.true(count <= 1 + budget);
      if (budget > 0) t.true(attempts > firstAttempts);
    });
  }
}
