import test from 'ava';
import type * as transport from '../index.js';
import * as fixture from './peer-fixture.js';

test('a call with a body gets its complete answer and trailer', async t => {
  const pair = await fixture.connectedPair(t, {
    ...fixture.refuseAll,
    onCall: async call => {
      const body = call.body ? await fixture.readAll(call.body) : null;
      await call.answer(
        {status: 201, headers: [['x-path', call.head.path]], contentLength: 6},
        fixture.chunksOf('<', body ?? '', '>'),
        () => fixture.TRAILER,
      );
      t.true(call.inTime);
    },
  });
  const result = await pair.caller.call(
    fixture.callHead({method: 'POST', hasBody: true, contentLength: 4}),
    fixture.chunksOf('ab', 'cd'),
    fixture.callOptions(),
  );
  t.is(result.kind, 'answer');
  if (result.kind !== 'answer') return;
  t.is(result.status, 201);
  t.deepEqual(result.headers, [['x-path', '/parts/7?colour=red']]);
  t.is((await fixture.readAll(result.body)).toString(), '<abcd>');
  t.deepEqual(await result.trailer, fixture.TRAILER);
  t.true(pair.caller.idle);
});

test('control requests are answered in both directions', async t => {
  const pair = await fixture.connectedPair(t, {
    ...fixture.refuseAll,
    onRequest: async (body, link) => {
      t.is(body.kind, 'leaving');
      return link.request({kind: 'status'}, 2_000);
    },
  });
  t.is(pair.caller.remote.hostId, 'target');
  const reply = await pair.caller.request(
    {kind: 'leaving', hostId: 'entry'},
    2_000,
  );
  t.deepEqual(reply, {kind: 'notOwner'});
});

const outcomes: ReadonlyArray<{
  name: string;
  settle: (call: transport.IncomingCall) => void;
  expected: Partial<transport.PeerResult>;
}> = [
  {
    name: 'a refusal',
    settle: call => call.refuse('queueFull', true, fixture.TRAILER),
    expected: {kind: 'refused', reason: 'queueFull', final: true},
  },
  {
    name: 'an unknown outcome',
    settle: call => call.reportUnknown('deadlineDuringRun', fixture.TRAILER),
    expected: {kind: 'unknown', reason: 'deadlineDuringRun'},
  },
  {
    name: 'a handler that settles nothing',
    settle: () => undefined,
    expected: {kind: 'unknown', reason: 'backendServerFailed'},
  },
];
for (const {name, settle, expected} of outcomes) {
  test(`${name} reaches the caller`, async t => {
    const pair = await fixture.connectedPair(t, {
      ...fixture.refuseAll,
      onCall: async call => settle(call),
    });
    const result = await pair.caller.call(
      fixture.callHead(),
      null,
      fixture.callOptions(),
    );
    t.like(result, expected);
  });
}
