import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as http from 'node:http';
import * as undici from 'undici';
import * as standIns from '../index.js';
import * as loadResults from '../load-results.js';
import * as slotPool from '../slot-pool.js';

interface RevisionResponse {
  readonly revision: number;
}

async function readPlatform(
  port: number,
  path: string,
): Promise<RevisionResponse | number> {
  const response = await undici.request(`http://127.0.0.1:${port}${path}`);
  if (response.statusCode !== 200) {
    await response.body.dump();
    return response.statusCode;
  }
  return (await response.body.json()) as RevisionResponse;
}

// Guards against a platform stand-in that serves data hidden by its mode.
const modeCases = [
  {mode: 'up', expected: 2},
  {mode: 'stale', expected: 1},
  {mode: 'down', expected: 'error'},
] as const;
for (const {mode, expected} of modeCases) {
  test(`a platform in mode ${mode} serves revision ${expected}`, async t => {
    const platform = new standIns.PlatformStandIn();
    const port = await platform.listen();
    platform.publishDocument(1, '{}');
    platform.setMode(mode);
    platform.publishDocument(2, '{}');
    const path = '/v1/document?after=0&wait=0';
    if (expected === 'error') {
      await t.throwsAsync(readPlatform(port, path));
    } else {
      const response = await readPlatform(port, path);
      t.like(response as RevisionResponse, {revision: expected});
      t.is(
        await readPlatform(port, `/v1/document?after=${expected}&wait=0`),
        304,
      );
      t.is(platform.readCount, 2);
    }
    await platform.close();
  });
}

test('a publication ends a long poll', async t => {
  const platform = new standIns.PlatformStandIn();
  const port = await platform.listen();
  const waiting = readPlatform(port, '/v1/hosts?after=0&wait=60000');
  platform.publishHosts([]);
  t.like((await waiting) as RevisionResponse, {revision: 1});
  await platform.close();
});

// Guards against a slot leak when a queued request is cancelled.
test('a slot pool queues up to its limit and removes aborted requests', async t => {
  const pool = new slotPool.SlotPool(1, 2);
  const cancelled = new AbortController();
  const never = new AbortController().signal;
  t.is(await pool.acquire(never), 'taken');
  const queued = pool.acquire(cancelled.signal);
  t.is(await pool.acquire(never), 'full');
  cancelled.abort();
  t.is(await queued, 'aborted');
  const next = pool.acquire(never);
  pool.release();
  t.is(await next, 'taken');
  pool.release();
  t.is(pool.running, 0);
  t.is(pool.refused, 1);
});

test('a backend server reports runs per key and whether it saw credentials', async t => {
  const backend = new standIns.BackendServerStandIn({
    service: 'billing',
    slots: 2,
    connectionLimit: 4,
    serviceTimeMs: 1,
    seed: 1,
  });
  const url = `http://127.0.0.1:${await backend.listen()}`;
  for (const headers of [
    {
      'idempotency-key': '1-a',
      'camphorwharf-organisation': 'sahab',
      'camphorwharf-request-id': 'r1',
    },
    {
      'idempotency-key': '1-a',
      'camphorwharf-organisation': 'sahab',
      'camphorwharf-request-id': 'r1',
      'authorization': 'Bearer k',
    },
  ]) {
    const response = await undici.request(`${url}/invoices`, {
      method: 'POST',
      headers,
    });
    t.is(response.statusCode, 200);
    await response.body.dump();
  }
  const report = backend.report();
  t.deepEqual(report.runsPerIdempotencyKey, {'sahab|1-a': 2});
  t.deepEqual(report.duplicateRequestIds, ['r1']);
  t.true(report.sawAuthorization);
  t.is(report.completed, 2);
  await backend.close();
});

// Guards against a load generator that accepts a truncated response or one
// to another request.
const responseCases = [
  {variant: 'echo', expected: 'completed'},
  {variant: 'other', expected: 'wrongAnswer'},
  {variant: 'truncated', expected: 'wrongAnswer'},
  {variant: 'refused', expected: 'notRun'},
] as const;
for (const {variant, expected} of responseCases) {
  test(`the load generator reports ${expected} for a response that is ${variant}`, async t => {
    const server = http.createServer((request, response) => {
      const path = variant === 'other' ? '/other' : request.url;
      const text = JSON.stringify({path, bodyDigest: runtime.sha256Hex('')});
      if (variant === 'refused') {
        response.writeHead(503, {
          'camphorwharf-outcome': 'not-run',
          'camphorwharf-reason': 'overloaded',
        });
      }
      response.end(variant === 'truncated' ? text.slice(0, -2) : text);
    });
    const port = await new Promise<number>(resolve => {
      server.listen(0, '127.0.0.1', () =>
        resolve((server.address() as {port: number}).port),
      );
    });
    const results = await new standIns.LoadGenerator({
      entryUrls: () => [`http://127.0.0.1:${port}`],
      organisations: [{name: 'teranga', key: 'k', weight: 1}],
      requests: [
        {
          service: 'catalogue',
          method: 'GET',
          path: '/parts',
          weight: 1,
          importance: 2,
        },
      ],
      requestsPerSecond: 500,
      durationMs: 40,
      seed: 3,
    }).run();
    const total = results.perOrganisation['teranga']?.['requests'] ?? 0;
    t.true(total > 0);
    t.is(results.count(expected), total);
    server.closeAllConnections();
    server.close();
  });
}

test('load results count retries separately from requests', t => {
  const results = new loadResults.LoadResults();
  for (const first of [true, false]) {
    results.record({
      organisation: 'teranga',
      importance: 0,
      service: 'billing',
      outcome: {kind: 'unknown', reason: 'answerLost'},
      latencyMs: 4,
      idempotencyKey: null,
      first,
    });
  }
  t.deepEqual(results.perOrganisation['teranga'], {
    'unknown/answerLost': 2,
    'requests': 1,
    'repeats': 1,
  });
  t.is(results.latency().count, 0);
});
