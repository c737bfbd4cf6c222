import test from 'ava';
import * as transport from '../index.js';

interface Step {
  readonly position: transport.ConnectionReading['position'];
  readonly readBytes: number;
  readonly messages: number;
  readonly chunkedBytes?: number;
  readonly heldTexts?: number;
  /** The memory that is expected after the read. */
  readonly bytes: number;
}

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly steps: readonly Step[];
}> = [
  {
    name: 'a request that arrives as a whole',
    steps: [
      {position: 'betweenMessages', readBytes: 300, messages: 1, bytes: 0},
      {position: 'betweenMessages', readBytes: 600, messages: 2, bytes: 0},
    ],
  },
  {
    name: 'headers that arrive in parts',
    steps: [
      {position: 'inHeaders', readBytes: 100, messages: 0, bytes: 100},
      {
        position: 'inHeaders',
        readBytes: 1_100,
        messages: 0,
        heldTexts: 64,
        bytes: 1_100 + 64 * 32,
      },
      {position: 'betweenMessages', readBytes: 1_200, messages: 1, bytes: 0},
    ],
  },
  {
    name: 'headers behind another request in the same read',
    steps: [
      {position: 'inHeaders', readBytes: 500, messages: 1, bytes: 500},
      // The request of the first read is complete, and a third one begins.
      {position: 'inHeaders', readBytes: 700, messages: 2, bytes: 200},
    ],
  },
  {
    name: 'a body of declared length',
    steps: [
      {position: 'behindHeaders', readBytes: 60_000, messages: 1, bytes: 0},
      {position: 'behindHeaders', readBytes: 90_000, messages: 1, bytes: 0},
    ],
  },
  {
    name: 'a chunked body in large chunks',
    steps: [
      {
        position: 'behindHeaders',
        readBytes: 60_300,
        messages: 1,
        chunkedBytes: 60_000,
        bytes: 300,
      },
      {
        position: 'behindHeaders',
        readBytes: 120_310,
        messages: 1,
        chunkedBytes: 120_000,
        bytes: 10,
      },
    ],
  },
  {
    name: 'trailers in small writes',
    steps: [
      {
        position: 'behindHeaders',
        readBytes: 200,
        messages: 1,
        chunkedBytes: 5,
        bytes: 195,
      },
      {
        position: 'behindHeaders',
        readBytes: 5_200,
        messages: 1,
        chunkedBytes: 5,
        heldTexts: 320,
        bytes: 5_195 + 320 * 32,
      },
    ],
  },
];

for (const {name, steps} of CASES) {
  test(`memory of an unfinished section: ${name}`, t => {
    // Guards against sections in no account, and against counting bodies and
    // idle connections as sections.
    const section = new transport.UnfinishedSection();
    for (const {bytes, ...reading} of steps) {
      const memory = section.update({
        heldTexts: 0,
        ...reading,
        chunkedBytes: reading.chunkedBytes ?? null,
      });
      t.is(memory, bytes);
    }
  });
}

test('the connection that holds the most closes at the limit', t => {
  // Guards against closing clients that send ordinary requests in parts.
  const memory = new transport.SectionMemory(1_000);
  const closed: string[] = [];
  const holder = (name: string) => ({
    closeForMemory: () => void closed.push(name),
  });
  const small = holder('small');
  const large = holder('large');
  const growing = holder('growing');
  memory.set(small, 100);
  memory.set(large, 600);
  memory.set(growing, 300);
  t.deepEqual(closed, []);
  memory.set(growing, 301);
  t.deepEqual(closed, ['large']);
  t.is(memory.bytes, 401);
  // One that is larger than the limit alone closes itself.
  memory.set(growing, 1_001);
  t.deepEqual(closed, ['large', 'growing']);
  memory.set(small, 0);
  memory.set(growing, 0);
  t.is(memory.bytes, 0);
});
