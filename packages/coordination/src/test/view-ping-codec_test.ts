import type * as protocol from '@camphorwharf/protocol';
import test from 'ava';
import * as viewPingCodec from '../view-ping-codec.js';

const A: protocol.MemberIdentity = {hostId: 'host-a', incarnation: 'i1'};
const B: protocol.MemberIdentity = {hostId: 'host-b', incarnation: 'i2'};

function createView(number: number): protocol.View {
  return {identity: {number, proposer: 'host-a'}, members: [A, B]};
}

function createAnswer(adopted: protocol.View | null): protocol.ViewAnswer {
  return {
    kind: 'viewAnswer',
    from: B,
    adopted,
    history: adopted ? [adopted] : [],
    active: true,
    leaving: false,
  };
}

/** Sends one ping from A to B; returns the messages and what was decoded. */
function exchangePing(
  a: viewPingCodec.ViewPingCodec,
  b: viewPingCodec.ViewPingCodec,
  viewOfA: protocol.View,
  viewOfB: protocol.View,
  receiver = B,
) {
  const fullPing: protocol.ViewPing = {
    kind: 'viewPing',
    cell: 'c',
    from: A,
    view: viewOfA,
    active: true,
  };
  const ping = a.compactPing(fullPing, receiver, false);
  const current = createAnswer(viewOfB);
  const restored = b.restorePing(structuredClone(ping), A, current);
  const answer = b.compactAnswer(current, ping, restored === null);
  return {
    ping,
    restored,
    answer,
    receivedAnswer: a.restoreAnswer(structuredClone(answer), receiver),
  };
}

// Guards against a compact ping or answer that is decoded to a wrong state.
test('views are sent once and then restored exactly', t => {
  const a = new viewPingCodec.ViewPingCodec();
  const b = new viewPingCodec.ViewPingCodec();
  const first = exchangePing(a, b, createView(1), createView(1));
  t.truthy(first.ping.view);
  t.deepEqual(first.receivedAnswer?.history, [createView(1)]);
  const second = exchangePing(a, b, createView(1), createView(1));
  t.is(second.ping.view, null);
  t.true(second.answer.unchanged);
  t.deepEqual(second.restored?.view, createView(1));
  t.deepEqual(second.receivedAnswer, {...createAnswer(createView(1)), from: B});
});

test('a receiver whose view has changed requests the full view', t => {
  const a = new viewPingCodec.ViewPingCodec();
  const b = new viewPingCodec.ViewPingCodec();
  exchangePing(a, b, createView(1), createView(1));
  const changed = exchangePing(a, b, createView(1), createView(2));
  t.is(changed.restored, null);
  t.true(changed.answer.needsView);
  t.deepEqual(changed.receivedAnswer?.adopted, createView(2));
});

test('a sender whose view has changed sends the full view', t => {
  const a = new viewPingCodec.ViewPingCodec();
  const b = new viewPingCodec.ViewPingCodec();
  exchangePing(a, b, createView(1), createView(1));
  const changed = exchangePing(a, b, createView(3), createView(1));
  t.deepEqual(changed.restored?.view, createView(3));
});

test('a restarted receiver gets the full view', t => {
  const a = new viewPingCodec.ViewPingCodec();
  exchangePing(
    a,
    new viewPingCodec.ViewPingCodec(),
    createView(1),
    createView(1),
  );
  const restarted = {hostId: 'host-b', incarnation: 'i3'};
  const fresh = new viewPingCodec.ViewPingCodec();
  const {ping} = exchangePing(
    a,
    fresh,
    createView(1),
    createView(1),
    restarted,
  );
  t.deepEqual(ping.view, createView(1));
  t.is(ping.answerDigest, undefined);
});
