import * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as transport from '../index.js';
import * as bodyMemory from '../body-memory.js';
import * as fixture from './peer-fixture.js';

const BODY_BYTES = 20 * 1024 * 1024;

/** A body that records the bytes produced but not yet consumed. */
function createMeasuredBody(seed: number) {
  const random = new runtime.SeededRandom(seed);
  const buffered = {produced: 0, consumed: 0, largest: 0};
  async function* produce(): AsyncGenerator<Uint8Array, void, void> {
    while (buffered.produced < BODY_BYTES) {
      const bytes = Math.min(
        1 + runtime.randomInteger(random, 150_000),
        BODY_BYTES - buffered.produced,
      );
      buffered.produced += bytes;
      buffered.largest = Math.max(
        buffered.largest,
        buffered.produced - buffered.consumed,
      );
      yield Buffer.alloc(bytes, buffered.produced % 251);
    }
  }
  return {buffered, body: produce()};
}

async function readSlowly(
  body: AsyncIterable<Uint8Array>,
  buffered: {consumed: number},
): Promise<number> {
  let chunks = 0;
  for await (const chunk of body) {
    buffered.consumed += chunk.length;
    if (++chunks % 8 === 0) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
  }
  return buffered.consumed;
}

for (const direction of ['request', 'answer'] as const) {
  test(`less than 1 MB of a 20 MB ${direction} body is buffered`, async t => {
    const measured = createMeasuredBody(direction.length);
    const empty = () => fixture.chunksOf();
    const pair = await fixture.connectedPair(t, {
      ...fixture.refuseAll,
      onCall: async call => {
        if (call.body) await readSlowly(call.body, measured.buffered);
        await call.respond(
          {
            status: 200,
            headers: [],
            contentLength: direction === 'answer' ? BODY_BYTES : 0,
          },
          direction === 'answer' ? measured.body : empty(),
          () => fixture.TRAILER,
        );
      },
    });
    const result = await pair.caller.call(
      fixture.callHead({
        hasBody: direction === 'request',
        contentLength: direction === 'request' ? BODY_BYTES : null,
      }),
      direction === 'request' ? measured.body : null,
      fixture.callOptions(),
    );
    if (result.kind !== 'answer') return t.fail();
    const buffered = direction === 'answer' ? measured.buffered : {consumed: 0};
    await readSlowly(result.body, buffered);
    t.is(measured.buffered.consumed, BODY_BYTES);
    // The initial credit, one credit update, and one chunk of the source.
    t.true(measured.buffered.largest <= 320 * 1024 + 150_000);
  });
}

test('an abandoned body, an abort and a failing source end the call', async t => {
  const ended: string[] = [];
  const pair = await fixture.connectedPair(t, {
    ...fixture.refuseAll,
    onCall: async call => {
      if (call.body) await t.throwsAsync(fixture.readAll(call.body));
      else {
        await t.throwsAsync(
          call.respond(
            {status: 200, headers: [], contentLength: null},
            createMeasuredBody(1).body,
            () => fixture.TRAILER,
          ),
          {instanceOf: runtime.ConnectionError},
        );
      }
      t.true(call.signal.aborted);
      ended.push(call.head.path);
    },
  });
  const abandoned = await pair.caller.call(
    fixture.callHead({path: '/abandoned'}),
    null,
    fixture.callOptions(),
  );
  if (abandoned.kind !== 'answer') return t.fail();
  for await (const chunk of abandoned.body) if (chunk.length > 0) break;
  await t.throwsAsync(abandoned.trailer, {instanceOf: runtime.ConnectionError});
  const abort = new AbortController();
  const {signal} = abort;
  const aborted = await pair.caller.call(
    fixture.callHead({path: '/aborted'}),
    null,
    fixture.callOptions({signal}),
  );
  if (aborted.kind !== 'answer') return t.fail();
  abort.abort();
  await t.throwsAsync(fixture.readAll(aborted.body), {
    instanceOf: runtime.ConnectionError,
  });
  async function* failing(): AsyncGenerator<Uint8Array, void, void> {
    yield Buffer.from('abc');
    throw new runtime.ConnectionError('The caller has disconnected.');
  }
  fixture.assertLostAfterSend(
    t,
    await pair.caller.call(
      fixture.callHead({path: '/source', hasBody: true}),
      failing(),
      fixture.callOptions(),
    ),
  );
  await pair.caller.request({kind: 'status'}, 600_000);
  while (ended.length < 3) await new Promise(resolve => setImmediate(resolve));
  t.deepEqual(ended, ['/abandoned', '/aborted', '/source']);
  t.true(pair.caller.idle);
});

test('unread bodies of many calls stay within the buffer budget', async t => {
  const results: string[] = [];
  let release!: () => void;
  const released = new Promise<void>(resolve => (release = resolve));
  const pair = await fixture.connectedPair(
    t,
    {
      ...fixture.refuseAll,
      onCall: async call => {
        await released;
        const reading = fixture.readAll(call.body!);
        results.push(await reading.then(String, error => error.name));
        call.refuse('overloaded', false, fixture.TRAILER);
      },
    },
    {bodyMemory: new bodyMemory.BodyMemory(5)},
  );
  const calls = ['abc', 'def', 'gh'].map(text =>
    pair.caller.call(
      fixture.callHead({hasBody: true}),
      fixture.chunksOf(text),
      fixture.callOptions(),
    ),
  );
  await pair.caller.request({kind: 'status'}, 600_000);
  release();
  await Promise.all(calls);
  t.deepEqual(results.sort(), ['ConnectionError', 'abc', 'gh']);
});

test('a silent connection is closed and replaced by a new one', async t => {
  const clock = new runtime.ManualClock();
  const silence = {clock, silenceLimitMs: 1_000};
  const pair = await fixture.connectedPair(
    t,
    {...fixture.refuseAll, onCall: async call => waitForAbort(call)},
    silence,
  );
  const relay = net.createServer(inner => {
    const outer = net.connect({port: pair.port, host: '127.0.0.1'});
    inner.pipe(outer);
    outer.pipe(inner);
    for (const socket of [inner, outer]) {
      socket.on('error', () => undefined);
      // Stops forwarding in both directions without closing either side.
      relay.once('silence', () => socket.unpipe().pause());
    }
  });
  await new Promise<void>(resolve => relay.listen(0, '127.0.0.1', resolve));
  const {port} = relay.address() as net.AddressInfo;
  const options = {...fixture.peerOptions('entry'), ...silence};
  const pool = new transport.PeerPool(options);
  t.teardown(() => {
    pool.close('test ended');
    relay.close();
  });
  const first = await pool.connect('127.0.0.1', port);
  t.is(await pool.connect('127.0.0.1', port), first);
  const calling = first.call(fixture.callHead(), null, fixture.callOptions());
  await first.request({kind: 'status'}, 600_000);
  relay.emit('silence');
  await clock.advance(1_000);
  t.deepEqual(await calling, {kind: 'lost', sent: true, sentAfterMs: 0});
  t.is(await first.ended, 'silent');
  const unshared = await pool.connectUnshared('127.0.0.1', port);
  const reply = await unshared.request({kind: 'status'}, 600_000);
  t.is(reply.kind, 'notOwner');
  t.not(await pool.connect('127.0.0.1', port), unshared);
});

function waitForAbort(call: transport.IncomingCall): Promise<void> {
  return new Promise(resolve =>
    call.signal.addEventListener('abort', () => resolve()),
  );
}

test('closeWhenIdle waits for calls in flight', async t => {
  let finish!: () => void;
  const finished = new Promise<void>(resolve => (finish = resolve));
  const pair = await fixture.connectedPair(t, {
    ...fixture.refuseAll,
    onCall: async call => {
      await finished;
      call.refuse('overloaded', false, fixture.TRAILER);
    },
  });
  const calling = pair.caller.call(
    fixture.callHead(),
    null,
    fixture.callOptions(),
  );
  await pair.caller.request({kind: 'status'}, 600_000);
  const closing = pair.listener.closeWhenIdle();
  t.is(pair.listener.connections.size, 1);
  finish();
  t.is((await calling).kind, 'refused');
  await closing;
  t.is(await pair.caller.ended, 'remoteClosed');
});

test('a request without a reply and an unreachable peer throw typed errors', async t => {
  const clock = new runtime.ManualClock();
  const pair = await fixture.connectedPair(
    t,
    {
      ...fixture.refuseAll,
      onRequest: () => Promise.reject(new Error('handler failed')),
    },
    {clock},
  );
  const asking = pair.caller.request({kind: 'status'}, 300);
  await clock.advance(300);
  await t.throwsAsync(asking, {instanceOf: runtime.TimeoutError});
  pair.listener.close('test');
  await pair.caller.ended;
  const pool = new transport.PeerPool(fixture.peerOptions('entry'));
  await t.throwsAsync(pool.connect('127.0.0.1', pair.port), {
    instanceOf: runtime.ConnectionError,
  });
});
