import type * as protocol from '@camphorwharf/protocol';
import test from 'ava';
import * as viewExchange from '../view-exchange.js';

const A: protocol.MemberIdentity = {hostId: 'host-a', incarnation: 'i1'};
const B: protocol.MemberIdentity = {hostId: 'host-b', incarnation: 'i2'};

function view(number: number): protocol.View {
  return {identity: {number, proposer: 'host-a'}, members: [A, B]};
}

function answerOf(adopted: protocol.View | null): protocol.ViewAnswer {
  return {
    kind: 'viewAnswer',
    from: B,
    adopted,
    history: adopted ? [adopted] : [],
    active: true,
    leaving: false,
  };
}

/** One exchange from A to B; returns what each side understood. */
function exchange(
  a: viewExchange.ViewExchange,
  b: viewExchange.ViewExchange,
  viewOfA: protocol.View,
  viewOfB: protocol.View,
  receiver = B,
) {
  const whole: protocol.ViewPing = {
    kind: 'viewPing',
    cell: 'c',
    from: A,
    view: viewOfA,
    active: true,
  };
  const ping = a.compactPing(whole, receiver, false);
  const current = answerOf(viewOfB);
  const restored = b.restorePing(structuredClone(ping), A, current);
  const answer = b.compactAnswer(current, ping, restored === null);
  return {
    ping,
    restored,
    answer,
    understood: a.restoreAnswer(structuredClone(answer), receiver),
  };
}

// Guards against a short ping or answer that is taken for another state.
test('views are sent once and restored exactly afterwards', t => {
  const a = new viewExchange.ViewExchange();
  const b = new viewExchange.ViewExchange();
  const first = exchange(a, b, view(1), view(1));
  t.truthy(first.ping.view);
  t.deepEqual(first.understood?.history, [view(1)]);
  const second = exchange(a, b, view(1), view(1));
  t.is(second.ping.view, null);
  t.true(second.answer.unchanged);
  t.deepEqual(second.restored?.view, view(1));
  t.deepEqual(second.understood, {...answerOf(view(1)), from: B});
});

test('a receiver whose view has changed asks for the view in full', t => {
  const a = new viewExchange.ViewExchange();
  const b = new viewExchange.ViewExchange();
  exchange(a, b, view(1), view(1));
  const changed = exchange(a, b, view(1), view(2));
  t.is(changed.restored, null);
  t.true(changed.answer.needsView);
  t.deepEqual(changed.understood?.adopted, view(2));
});

test('a sender whose view has changed sends it in full', t => {
  const a = new viewExchange.ViewExchange();
  const b = new viewExchange.ViewExchange();
  exchange(a, b, view(1), view(1));
  const changed = exchange(a, b, view(3), view(1));
  t.deepEqual(changed.restored?.view, view(3));
});

test('a restarted receiver gets the view in full', t => {
  const a = new viewExchange.ViewExchange();
  exchange(a, new viewExchange.ViewExchange(), view(1), view(1));
  const restarted = {hostId: 'host-b', incarnation: 'i3'};
  const fresh = new viewExchange.ViewExchange();
  const {ping} = exchange(a, fresh, view(1), view(1), restarted);
  t.deepEqual(ping.view, view(1));
  t.is(ping.answerDigest, undefined);
});
