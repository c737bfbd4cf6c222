// Benchmark: CPU time and latency of a call over one peer connection, with both
// ends in this process.
// Run: node packages/transport/lib/test/peer-cost.js [CALLS]
import type * as ava from 'ava';
import * as fixture from './peer-fixture.js';

const calls = Number(process.argv[2] ?? 20_000);
const content = Buffer.alloc(1_024, 'a');
const headers = [['content-type', 'application/json']] as const;
const noTest = {teardown: () => undefined} as unknown as ava.ExecutionContext;
const {caller} = await fixture.connectedPair(noTest, {
  ...fixture.refuseAll,
  onCall: async call => {
    if (call.body) await fixture.readAll(call.body);
    await call.respond(
      {status: 200, headers, contentLength: content.length},
      fixture.chunksOf(content),
      () => fixture.TRAILER,
    );
  },
});

async function measure(hasBody: boolean, concurrency: number): Promise<void> {
  const head = fixture.callHead({
    hasBody,
    contentLength: hasBody ? content.length : null,
  });
  const times: number[] = [];
  let left = calls;
  const worker = async () => {
    while (left-- > 0) {
      const startNs = process.hrtime.bigint();
      const result = await caller.call(
        head,
        hasBody ? fixture.chunksOf(content) : null,
        fixture.callOptions(),
      );
      if (result.kind !== 'answer') throw new Error(result.kind);
      await fixture.readAll(result.body);
      times.push(Number(process.hrtime.bigint() - startNs) / 1e3);
    }
  };
  const usage = process.cpuUsage();
  await Promise.all(Array.from({length: concurrency}, worker));
  const {user, system} = process.cpuUsage(usage);
  times.sort((left, right) => left - right);
  const at = (part: number) => times[Math.floor(calls * part)].toFixed(0);
  process.stdout.write(
    `${hasBody ? 'POST 1 KB' : 'GET'}, 1 KB answer, ${concurrency} at once: ` +
      `CPU ${((user + system) / calls).toFixed(0)} us per call, ` +
      `p50 ${at(0.5)} us, p99 ${at(0.99)} us\n`,
  );
}

await measure(false, 1);
for (const hasBody of [false, true]) {
  for (const concurrency of [1, 16]) await measure(hasBody, concurrency);
}
process.exit(0);
