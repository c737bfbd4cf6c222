import * as net from 'node:net';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import type * as ava from 'ava';
import * as transport from '../index.js';
import * as fixture from './peer-fixture.js';

/** Opens a connection to a target whose frames the test writes. */
async function connectToRawTarget(
  t: ava.ExecutionContext,
  overrides: Partial<transport.PeerOptions> = {},
) {
  let accept!: (peer: fixture.RawPeer) => void;
  const accepted = new Promise<fixture.RawPeer>(resolve => (accept = resolve));
  const server = net.createServer(socket =>
    accept(new fixture.RawPeer(socket)),
  );
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const options = {...fixture.peerOptions('entry'), ...overrides};
  const pool = new transport.PeerPool(options);
  const {port} = server.address() as net.AddressInfo;
  const connecting = pool.connect('127.0.0.1', port);
  const target = await accepted;
  target.sendHello();
  const caller = await connecting;
  t.teardown(() => {
    pool.close('test ended');
    target.socket.destroy();
    server.close();
  });
  return {target, caller, metrics: options.metrics};
}

type FrameScript = (call: number) => readonly protocol.Frame[];
const head = (call: number, contentLength: number | null = 3, attempt = 1) =>
  ({
    kind: 'answerHead',
    call,
    attempt,
    status: 200,
    headers: [],
    contentLength,
  }) as const;
const part = (call: number, text = 'abc') =>
  ({kind: 'answerBody', call, chunk: Buffer.from(text)}) as const;
const end = (call: number, totalBytes = 3) =>
  ({kind: 'answerEnd', call, totalBytes, ...fixture.TRAILER}) as const;
const refusal = (call: number) =>
  ({
    kind: 'refusal',
    call,
    reason: 'queueFull',
    final: false,
    ...fixture.TRAILER,
  }) as const;
const completeResponse: FrameScript = call => [
  head(call),
  part(call),
  end(call),
];

const invalidResponses: ReadonlyArray<{name: string; script: FrameScript}> = [
  {name: 'truncated', script: call => [head(call, 6), part(call), end(call)]},
  {name: 'too long', script: call => [head(call, 2), part(call), end(call)]},
  {
    name: 'shorter than its reported total',
    script: call => [head(call, null), part(call), end(call, 5)],
  },
  {
    name: 'aborted by the target',
    script: call => [
      head(call),
      part(call, 'ab'),
      {
        kind: 'unknownOutcome',
        call,
        reason: 'answerTruncated',
        ...fixture.TRAILER,
      },
    ],
  },
  {
    name: 'larger than the credit',
    script: call => [
      head(call, null),
      ...Array.from({length: 5}, () => part(call, 'x'.repeat(65_536))),
      end(call, 5 * 65_536),
    ],
  },
];
for (const {name, script} of invalidResponses) {
  test(`a response that is ${name} throws; the next call succeeds`, async t => {
    const {target, caller} = await connectToRawTarget(t);
    const results = [1, 3].map(() =>
      caller.call(fixture.callHead(), null, fixture.callOptions()),
    );
    const {call} = await target.frame('call', 1);
    target.send(...script(call - 2), ...completeResponse(call));
    const invalid = await results[0];
    // The second response shows that the first has been read completely.
    const valid = await results[1];
    if (invalid.kind !== 'answer' || valid.kind !== 'answer') return t.fail();
    t.is((await fixture.readAll(valid.body)).toString(), 'abc');
    await t.throwsAsync(fixture.readAll(invalid.body), {
      instanceOf: runtime.ProtocolError,
    });
    await t.throwsAsync(invalid.trailer, {instanceOf: runtime.ProtocolError});
  });
}

const unexpectedFrames: ReadonlyArray<{
  name: string;
  cause: string;
  script: FrameScript;
}> = [
  {
    name: 'of another attempt',
    cause: 'misrouted',
    script: call => [head(call, 9, 2), ...completeResponse(call)],
  },
  {
    name: 'that repeats the head',
    cause: 'misrouted',
    script: call => [head(call), head(call, 9), part(call), end(call)],
  },
  {
    name: 'before the head',
    cause: 'misrouted',
    script: call => [part(call, 'zz'), ...completeResponse(call)],
  },
  {
    name: 'of an unknown call',
    cause: 'unknownCall',
    script: call => [head(call + 2, 9), ...completeResponse(call)],
  },
  {
    name: 'that refuses a call after its response head',
    cause: 'misrouted',
    script: call => [head(call), refusal(call), part(call), end(call)],
  },
  {
    name: 'that repeats the end',
    cause: 'late',
    script: call => [...completeResponse(call), end(call)],
  },
  {
    name: 'that refuses a finished call',
    cause: 'late',
    script: call => [...completeResponse(call), refusal(call)],
  },
];
for (const {name, cause, script} of unexpectedFrames) {
  test(`a frame ${name} is dropped and counted`, async t => {
    const {target, caller, metrics} = await connectToRawTarget(t);
    const calling = caller.call(
      fixture.callHead(),
      null,
      fixture.callOptions(),
    );
    const {call} = await target.frame('call');
    target.send(...script(call));
    const result = await calling;
    if (result.kind !== 'answer') return t.fail();
    t.is((await fixture.readAll(result.body)).toString(), 'abc');
    t.deepEqual(await result.trailer, fixture.TRAILER);
    target.send({kind: 'request', request: 1, body: {kind: 'status'}});
    await target.frame('reply');
    const dropped = 'peer_frames_dropped_total';
    t.is(await fixture.counter(metrics, dropped, {cause}), 1);
    t.is(await fixture.counter(metrics, dropped), 1);
  });
}

const connectionFailures: ReadonlyArray<{
  name: string;
  reason: transport.CloseReasonName;
  act: (target: fixture.RawPeer, clock: runtime.ManualClock) => unknown;
}> = [
  {
    name: 'closes',
    reason: 'remoteClosed',
    act: target => target.socket.end(),
  },
  {
    name: 'resets',
    reason: 'socketError',
    act: target => target.socket.resetAndDestroy(),
  },
  {
    name: 'sends invalid data',
    reason: 'malformed',
    act: target => target.socket.write('HTTP/1.1 400 Bad Request\r\n\r\n'),
  },
  {
    name: 'sends nothing',
    reason: 'silent',
    act: (_target, clock) => clock.advance(1_000),
  },
  {
    name: 'acknowledges nothing',
    reason: 'silent',
    act: async (target, clock) => {
      for (let number = 1; number <= 4; number++) {
        target.send({kind: 'heartbeat', number, acknowledged: 0});
        const body = {kind: 'status'} as const;
        target.send({kind: 'request', request: number, body});
        await target.frame('reply', number - 1);
        await clock.advance(250);
      }
    },
  },
];
for (const {name, reason, act} of connectionFailures) {
  test(`calls to a target that ${name} are lost (${reason})`, async t => {
    const clock = new runtime.ManualClock();
    const {target, caller, metrics} = await connectToRawTarget(t, {
      clock,
      silenceLimitMs: 1_000,
    });
    const calls = [1, 3].map(() =>
      caller.call(fixture.callHead(), null, fixture.callOptions()),
    );
    const {call} = await target.frame('call', 1);
    target.send(head(call));
    const streaming = await calls[1];
    await act(target, clock);
    t.deepEqual(await calls[0], {kind: 'lost', sent: true});
    if (streaming.kind !== 'answer') return t.fail();
    await t.throwsAsync(fixture.readAll(streaming.body), {
      instanceOf: runtime.ConnectionError,
    });
    t.is(await caller.ended, reason);
    const closed = 'peer_connections_closed_total';
    t.is(await fixture.counter(metrics, closed, {reason}), 1);
    t.deepEqual(
      await caller.call(fixture.callHead(), null, fixture.callOptions()),
      {kind: 'lost', sent: false},
    );
    await t.throwsAsync(caller.request({kind: 'status'}, 1_000), {
      instanceOf: runtime.ConnectionError,
    });
  });
}

test('a permission contains the latest heartbeat and its age', async t => {
  const clock = new runtime.ManualClock(1_000);
  const {target, caller} = await connectToRawTarget(t, {clock});
  const send = async () => {
    const {signal} = new AbortController();
    void caller.call(fixture.callHead(), null, {permissionMs: 700, signal});
    const skip = target.received.filter(({kind}) => kind === 'call').length;
    return (await target.frame('call', skip)).permission;
  };
  await clock.advance(20);
  const first = {heartbeatNumber: 0, elapsedMs: 20, remainingMs: 700};
  t.deepEqual(await send(), first);
  target.send({kind: 'heartbeat', number: 7, acknowledged: 1});
  // The reply shows that the preceding heartbeat has been read.
  target.send({kind: 'request', request: 1, body: {kind: 'status'}});
  await target.frame('reply');
  await clock.advance(30);
  const second = {heartbeatNumber: 7, elapsedMs: 30, remainingMs: 700};
  t.deepEqual(await send(), second);
});
