import * as v8 from 'node:v8';
import test from 'ava';
import * as bodyBuffer from '../body-buffer.js';
import * as bodyMemory from '../body-memory.js';

const PAYLOAD_BYTES = 1024 * 1024;

/** Size of the read buffers that chunks are views of. */
const READ_BYTES = 64 * 1024;

/** Chunks of `size` bytes, each a view of a read buffer of its own. */
function* viewsOf(size: number): Generator<Uint8Array> {
  for (let sent = 0; sent < PAYLOAD_BYTES; sent += size) {
    const length = Math.min(size, PAYLOAD_BYTES - sent);
    const read = Buffer.allocUnsafeSlow(Math.max(length, READ_BYTES));
    read.fill(sent % 251);
    yield read.subarray(0, length);
  }
}

function expectedBody(size: number): Buffer {
  return Buffer.concat([...viewsOf(size)]);
}

/** Chunk sizes, in bytes. */
const CHUNK_SIZES = [64, 1_000, 1_024, 16 * 1024, 50_000, 64 * 1024, 300_000];

for (const size of CHUNK_SIZES) {
  // Guards against keeping an object for each chunk, or the read buffer that a
  // chunk is a view of: a body of small chunks filled the heap of a daemon.
  test(`a body in chunks of ${size} bytes takes no more than twice its length`, t => {
    const memory = new bodyMemory.BodyMemory(2 * PAYLOAD_BYTES + 4_096);
    const reservation = memory.open(null);
    const buffer = new bodyBuffer.BodyBuffer(reservation);
    for (const chunk of viewsOf(size)) t.true(buffer.append(chunk));
    t.is(buffer.length, PAYLOAD_BYTES);
    t.true(memory.bytes >= PAYLOAD_BYTES);
    t.true(Buffer.from(buffer.take()).equals(expectedBody(size)));
    t.is(memory.bytes, 0);
  });
}

test('a body in chunks of one byte adds no objects to the heap', t => {
  const buffer = new bodyBuffer.BodyBuffer(null);
  const chunk = Buffer.allocUnsafeSlow(1);
  const before = v8.getHeapStatistics().used_heap_size;
  for (let sent = 0; sent < PAYLOAD_BYTES; sent++) buffer.append(chunk);
  const grownBytes = v8.getHeapStatistics().used_heap_size - before;
  t.true(grownBytes < 4 * PAYLOAD_BYTES, `${grownBytes} bytes`);
  t.is(buffer.take().length, PAYLOAD_BYTES);
});

test('a body of declared length allocates no more than that', t => {
  const memory = new bodyMemory.BodyMemory(10_000);
  const buffer = new bodyBuffer.BodyBuffer(memory.open(null), 10_000);
  for (let sent = 0; sent < 10_000; sent += 100) {
    t.true(buffer.append(Buffer.alloc(100)));
  }
  t.is(memory.bytes, 10_000);
});

interface MemoryCase {
  /** Bytes that each body takes in turn; the limit is 100. */
  readonly growth: ReadonlyArray<readonly [body: string, bytes: number]>;
  readonly failed: readonly string[];
  readonly remainingBytes: number;
}

/** Guards against an endless body that fails the others instead of itself. */
const MEMORY_CASES: Readonly<Record<string, MemoryCase>> = {
  'bodies within the limit all stay': {
    growth: [
      ['a', 50],
      ['b', 50],
    ],
    failed: [],
    remainingBytes: 100,
  },
  'the largest body fails when a smaller one grows': {
    growth: [
      ['a', 80],
      ['b', 20],
      ['b', 10],
    ],
    failed: ['a'],
    remainingBytes: 30,
  },
  'a body that would be the largest fails itself': {
    growth: [
      ['a', 40],
      ['b', 50],
      ['b', 20],
    ],
    failed: ['b'],
    remainingBytes: 40,
  },
  'a body longer than the limit fails': {
    growth: [['a', 101]],
    failed: ['a'],
    remainingBytes: 0,
  },
  'a body that cannot fail any more stays': {
    growth: [
      ['kept', 80],
      ['b', 30],
      ['c', 20],
    ],
    failed: ['b'],
    remainingBytes: 100,
  },
};
for (const [name, {growth, failed, remainingBytes}] of Object.entries(
  MEMORY_CASES,
)) {
  test(`memory of bodies: ${name}`, t => {
    const memory = new bodyMemory.BodyMemory(100);
    const reservations = new Map<string, bodyMemory.MemoryReservation>();
    const failures: string[] = [];
    for (const [body, bytes] of growth) {
      let reservation = reservations.get(body);
      if (!reservation) {
        const onEvicted = () => void failures.push(body);
        reservation = memory.open(body === 'kept' ? null : onEvicted);
        reservations.set(body, reservation);
      }
      if (reservation.tryGrow(bytes)) continue;
      failures.push(body);
      reservation.release();
    }
    t.deepEqual(failures, failed);
    t.is(memory.failedBodies, failed.length);
    t.is(memory.bytes, remainingBytes);
  });
}
