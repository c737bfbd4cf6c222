import test from 'ava';
import * as constants from '../constants.js';
import * as prepaidGrant from '../prepaid-grant.js';

function createGrant(): prepaidGrant.PrepaidGrant {
  return new prepaidGrant.PrepaidGrant({
    organisation: 'o',
    holder: {hostId: 'h', incarnation: 'i'},
  });
}

function answerWith(tokens: number, retryAfterMs = 0) {
  return {kind: 'grantAnswer', tokens, retryAfterMs} as const;
}

test('no tokens are requested without demand', t => {
  t.is(createGrant().nextRequest(0), null);
});

test('unmet demand is requested at once, one request at a time', t => {
  const grant = createGrant();
  t.false(grant.trySpend(0));
  grant.recordUnmetDemand(0);
  t.is(grant.nextRequest(0)?.tokens, 1);
  t.is(grant.nextRequest(20), null);
  grant.recordAnswer(answerWith(1), 0, 20);
  t.true(grant.trySpend(20));
  t.is(grant.heldTokens, 0);
});

test('an organisation with one call per second prefetches no tokens', t => {
  const grant = createGrant();
  for (let call = 0; call < 20; call++) {
    const nowMs = call * 1_000;
    grant.recordUnmetDemand(nowMs);
    t.is(grant.nextRequest(nowMs)?.tokens, 1);
    grant.recordAnswer(answerWith(1), nowMs, nowMs);
    t.true(grant.trySpend(nowMs));
    const report = grant.nextRequest(nowMs + 20);
    t.is(report?.tokens, 0);
    t.is(report?.spent, 1);
    grant.recordAnswer(answerWith(0), nowMs + 20, nowMs + 20);
    t.is(grant.nextRequest(nowMs + 500), null);
  }
});

test('demand is covered for about 200 ms and refilled below half', t => {
  const grant = createGrant();
  let nowMs = 0;
  let largest = 0;
  for (let call = 0; call < 4_000; call++) {
    nowMs += 1;
    if (!grant.trySpend(nowMs)) grant.recordUnmetDemand(nowMs);
    const request = grant.nextRequest(nowMs);
    if (!request) continue;
    t.true(grant.heldTokens < 100);
    grant.recordAnswer(answerWith(request.tokens), nowMs, nowMs);
    largest = Math.max(largest, grant.heldTokens);
  }
  t.true(largest > 150 && largest <= 210, `${largest}`);
});

test('tokens expire one grant lifetime after the request was sent', t => {
  const grant = createGrant();
  grant.recordUnmetDemand(0);
  grant.nextRequest(0);
  grant.recordAnswer(answerWith(2), 0, 1_000);
  t.true(grant.trySpend(constants.GRANT_LIFETIME_MS - 1));
  t.false(grant.trySpend(constants.GRANT_LIFETIME_MS));
});

test('the answer to a request recorded as lost is ignored', t => {
  const grant = createGrant();
  grant.recordUnmetDemand(0);
  grant.nextRequest(0);
  grant.recordLostRequest(100);
  grant.recordAnswer(answerWith(5), 0, 110);
  t.is(grant.heldTokens, 0);
  t.is(grant.nextRequest(120)?.tokens, 1);
  grant.recordAnswer(answerWith(5), 0, 130);
  t.is(grant.heldTokens, 0);
});

test('a lost report is not repeated and a sequence number is skipped', t => {
  const grant = createGrant();
  grant.recordUnmetDemand(0);
  const first = grant.nextRequest(0);
  grant.recordAnswer(answerWith(1), 0, 1);
  grant.trySpend(2);
  const second = grant.nextRequest(20);
  t.is(second?.spent, 1);
  t.is(second?.sequence, (first?.sequence ?? 0) + 1);
  grant.recordLostRequest(100);
  grant.recordUnmetDemand(120);
  const third = grant.nextRequest(120);
  t.is(third?.spent, 0);
  t.is(third?.sequence, (second?.sequence ?? 0) + 2);
});

test('the retry delay in an answer is respected', t => {
  const grant = createGrant();
  grant.recordUnmetDemand(0);
  grant.nextRequest(0);
  grant.recordAnswer(answerWith(0, 60), 0, 1);
  t.is(grant.nextRequest(50), null);
  t.is(grant.nextRequest(61)?.tokens, 1);
});

test('a graceful shutdown returns unspent tokens once', t => {
  const grant = createGrant();
  grant.recordUnmetDemand(0);
  grant.nextRequest(0);
  grant.recordAnswer(answerWith(3), 0, 1);
  grant.trySpend(2);
  t.like(grant.returnUnspentTokens(3), {spent: 1, unspent: 2});
  t.is(grant.returnUnspentTokens(4), null);
  t.false(grant.trySpend(4));
});
