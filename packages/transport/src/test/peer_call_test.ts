import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import type * as ava from 'ava';
import * as transport from '../index.js';
import * as fixture from './peer-fixture.js';

/** Starts a listener and connects a peer whose frames the test writes. */
async function connectRawCaller(
  t: ava.ExecutionContext,
  handler: Partial<transport.PeerHandler> = {},
  overrides: Partial<transport.PeerOptions> = {},
) {
  const options = {
    ...fixture.peerOptions('target', {...fixture.refuseAll, ...handler}),
    ...overrides,
  };
  const listener = new transport.PeerListener(options);
  const port = await listener.listen(0, '127.0.0.1');
  const peer = await fixture.RawPeer.connect(port);
  t.teardown(() => {
    peer.socket.destroy();
    listener.close('test ended');
  });
  return {peer, port, listener, metrics: options.metrics};
}

function callFrame(
  call: number,
  overrides: Partial<protocol.Call> = {},
): protocol.Call {
  return {
    kind: 'call',
    call,
    ...fixture.callHead(),
    permission: {heartbeatNumber: 0, elapsedMs: 0, remainingMs: 60_000},
    ...overrides,
  };
}

const invalidHandshakes: ReadonlyArray<{
  name: string;
  reason: transport.CloseReasonName;
  act: (peer: fixture.RawPeer) => void;
}> = [
  {name: 'sends no hello', reason: 'noHello', act: () => undefined},
  {
    name: 'calls before its hello',
    reason: 'malformed',
    act: peer => peer.send(callFrame(1)),
  },
  {
    name: 'supports only newer versions',
    reason: 'versionMismatch',
    act: peer => peer.sendHello(2, 9),
  },
  {
    name: 'sends an oversized frame length',
    reason: 'malformed',
    act: peer => {
      peer.sendHello();
      peer.socket.write(Buffer.alloc(4, 0xff));
    },
  },
];
for (const {name, reason, act} of invalidHandshakes) {
  test(`a peer that ${name} is closed without affecting others (${reason})`, async t => {
    const clock = new runtime.ManualClock();
    const {peer, port, metrics} = await connectRawCaller(
      t,
      {},
      {clock, handshakeTimeoutMs: 1_000},
    );
    const other = await fixture.RawPeer.connect(port);
    other.sendHello();
    await other.frame('heartbeat');
    act(peer);
    if (reason === 'noHello') await clock.advance(1_000);
    await peer.untilClosed();
    const closed = 'peer_connections_closed_total';
    t.is(await fixture.counter(metrics, closed, {reason}), 1);
    other.send(callFrame(1));
    t.is((await other.frame('refusal')).call, 1);
    t.is(await fixture.counter(metrics, closed), 1);
    other.socket.destroy();
  });
}

test('duplicate and misnumbered calls never run', async t => {
  const startedCalls: number[] = [];
  const {peer, metrics} = await connectRawCaller(t, {
    onCall: async call => {
      startedCalls.push(call.head.call);
      call.refuse('overloaded', false, fixture.TRAILER);
    },
  });
  peer.sendHello();
  peer.send(callFrame(1), callFrame(1), callFrame(2), callFrame(5));
  peer.send(callFrame(3), callFrame(5), callFrame(7));
  await peer.frame('refusal', 2);
  t.deepEqual(startedCalls, [1, 5, 7]);
  const dropped = 'peer_frames_dropped_total';
  t.is(await fixture.counter(metrics, dropped, {cause: 'duplicate'}), 3);
  t.is(await fixture.counter(metrics, dropped, {cause: 'unknownCall'}), 1);
});

const body = (text: string, last: boolean, totalBytes: number) => ({
  kind: 'callBody' as const,
  call: 1,
  chunk: Buffer.from(text),
  last,
  totalBytes,
});
const invalidBodies: ReadonlyArray<{
  name: string;
  contentLength: number | null;
  frames: readonly protocol.Frame[];
}> = [
  {name: 'truncated', contentLength: 4, frames: [body('abc', true, 3)]},
  {name: 'too long', contentLength: 2, frames: [body('abc', false, 3)]},
  {
    name: 'shorter than its reported total',
    contentLength: null,
    frames: [body('abc', true, 4)],
  },
  {
    name: 'larger than the credit',
    contentLength: null,
    frames: Array.from({length: 5}, (_, index) =>
      body('x'.repeat(65_536), false, (index + 1) * 65_536),
    ),
  },
];
for (const {name, contentLength, frames} of invalidBodies) {
  test(`a request body that is ${name} throws`, async t => {
    const {peer} = await connectRawCaller(t, {
      onCall: async call => {
        // Read only after all frames have arrived, so that credit runs out.
        await peer.frame('reply');
        await t.throwsAsync(fixture.readAll(call.body!), {
          instanceOf: runtime.ProtocolError,
        });
        call.refuse('headerInvalid', true, fixture.TRAILER);
      },
    });
    peer.sendHello();
    peer.send(callFrame(1, {hasBody: true, contentLength}), ...frames);
    peer.send({kind: 'request', request: 1, body: {kind: 'status'}});
    t.is((await peer.frame('refusal')).reason, 'headerInvalid');
  });
}

const permissions = [
  {
    name: 'hello',
    heartbeatNumber: 0,
    elapsedMs: 100,
    remainingMs: 900,
    at: 1_000,
  },
  {
    name: 'hello, too late',
    heartbeatNumber: 0,
    elapsedMs: 100,
    remainingMs: 899,
    at: 1_000,
  },
  {
    name: 'a heartbeat',
    heartbeatNumber: 3,
    elapsedMs: 0,
    remainingMs: 500,
    at: 1_000,
  },
  {
    name: 'a heartbeat, too late',
    heartbeatNumber: 3,
    elapsedMs: 0,
    remainingMs: 499,
    at: 1_000,
  },
  {
    name: 'a heartbeat not sent yet',
    heartbeatNumber: 6,
    elapsedMs: 0,
    remainingMs: 60_000,
    at: 1_000,
  },
  {
    name: 'a forgotten heartbeat',
    heartbeatNumber: 3,
    elapsedMs: 0,
    remainingMs: 900_000,
    at: 20_000,
  },
];
for (const {name, at, ...permission} of permissions) {
  const valid = !/late|not sent|forgotten/.test(name);
  test(`a permission from ${name} is ${valid ? '' : 'not '}valid`, async t => {
    const clock = new runtime.ManualClock();
    const {peer} = await connectRawCaller(
      t,
      {
        onCall: async call => {
          t.is(call.permissionValid, valid);
          call.refuse('permissionExpired', false, fixture.TRAILER);
        },
      },
      // Heartbeat n is sent at (n - 1) * 250 ms.
      {clock},
    );
    peer.sendHello();
    await peer.frame('heartbeat');
    await clock.advance(at);
    peer.send(callFrame(1, {permission}));
    await peer.frame('refusal');
  });
}

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`frames in random order affect no other connection (seed ${seed})`, async t => {
    const {peer, port} = await connectRawCaller(t, {
      onCall: async (call, link) => {
        const {signal} = call;
        const back = await link.call(fixture.callHead(), null, {
          permissionMs: 1,
          signal,
        });
        if (back.kind === 'answer') await fixture.readAll(back.body);
        const body = call.body ?? fixture.chunksOf('abc');
        const head = {status: 200, headers: [], contentLength: null};
        await call.respond(head, body, () => fixture.TRAILER);
      },
    });
    const random = new runtime.SeededRandom(seed);
    const pick = (limit: number) => runtime.randomInteger(random, limit);
    const chunk = Buffer.from('abc');
    peer.sendHello();
    for (let step = 0; step < 2_000; step++) {
      const call = pick(40);
      const trailer = {call, ...fixture.TRAILER};
      const responseHead = {status: 200, headers: [], contentLength: null};
      const frames: readonly protocol.Frame[] = [
        callFrame(call, {hasBody: pick(2) === 0}),
        {
          kind: 'callBody',
          call,
          chunk,
          last: pick(2) === 0,
          totalBytes: pick(9),
        },
        {kind: 'callCredit', call, bytes: pick(9)},
        {kind: 'answerHead', call, attempt: 1 + pick(2), ...responseHead},
        {kind: 'answerBody', call, chunk},
        {kind: 'answerEnd', totalBytes: pick(9), ...trailer},
        {kind: 'refusal', reason: 'queueFull', final: false, ...trailer},
        {kind: 'unknownOutcome', reason: 'answerLost', ...trailer},
        {kind: 'cancel', call},
        {kind: 'reply', request: call, body: {kind: 'notOwner'}},
      ];
      peer.send(frames[pick(frames.length)]);
    }
    peer.send({kind: 'request', request: 1, body: {kind: 'status'}});
    t.is((await peer.frame('reply')).request, 1);
    const other = await fixture.RawPeer.connect(port);
    other.sendHello();
    other.send({kind: 'request', request: 2, body: {kind: 'status'}});
    t.is((await other.frame('reply')).request, 2);
    other.socket.destroy();
  });
}

test('a cancel frame aborts the signal and fails the body', async t => {
  let done!: () => void;
  const finished = new Promise<void>(resolve => (done = resolve));
  const {peer, metrics} = await connectRawCaller(t, {
    onCall: async call => {
      await t.throwsAsync(fixture.readAll(call.body!), {
        instanceOf: runtime.ConnectionError,
      });
      t.true(call.signal.aborted);
      call.refuse('cancelled', true, fixture.TRAILER);
      done();
    },
  });
  peer.sendHello();
  peer.send(callFrame(1, {hasBody: true}), body('ab', false, 2));
  peer.send({kind: 'cancel', call: 1}, body('c', true, 3));
  await finished;
  const cause = 'late';
  t.is(await fixture.counter(metrics, 'peer_frames_dropped_total', {cause}), 1);
  t.false(peer.received.some(frame => frame.kind === 'refusal'));
});

test('a peer that does not read is closed at the output limit', async t => {
  const {peer, metrics} = await connectRawCaller(t, {
    onRequest: async () => ({
      kind: 'statusAnswer',
      status: {text: 'x'.repeat(1_000_000)},
    }),
  });
  peer.sendHello();
  await peer.frame('heartbeat');
  peer.socket.pause();
  for (let request = 1; request <= 60; request++) {
    peer.send({kind: 'request', request, body: {kind: 'status'}});
  }
  while (!(await fixture.counter(metrics, 'peer_connections_closed_total'))) {
    await new Promise(resolve => setImmediate(resolve));
  }
  const reason = 'outputFull';
  const closed = 'peer_connections_closed_total';
  t.is(await fixture.counter(metrics, closed, {reason}), 1);
});

test('calls beyond the limit of 10,000 are not sent', async t => {
  let running = 0;
  const {listener, port} = await connectRawCaller(t, {
    onCall: async call => {
      running++;
      await new Promise(resolve =>
        call.signal.addEventListener('abort', resolve),
      );
    },
  });
  const pool = new transport.PeerPool(fixture.peerOptions('entry'));
  t.teardown(() => pool.close('test ended'));
  const link = await pool.connect('127.0.0.1', port);
  const aborts: AbortController[] = [];
  const pending: Array<Promise<transport.PeerResult>> = [];
  while (pending.length < transport.MAXIMUM_CONCURRENT_CALLS) {
    const abort = new AbortController();
    aborts.push(abort);
    const {signal} = abort;
    pending.push(
      link.call(fixture.callHead(), null, fixture.callOptions({signal})),
    );
  }
  t.deepEqual(
    await link.call(fixture.callHead(), null, fixture.callOptions()),
    {kind: 'lost', sent: false},
  );
  await link.request({kind: 'status'}, 60_000);
  t.is(running, transport.MAXIMUM_CONCURRENT_CALLS);
  for (const abort of aborts) abort.abort();
  fixture.assertLostAfterSend(t, await pending[0]);
  t.true(link.idle);
  t.is(listener.connections.size, 1);
});
