import * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import test from 'ava';
import * as callerHttpServer from '../caller-http-server.js';
import type * as requestBody from '../request-body.js';

const MAXIMUM_BYTES = 4 * 1024 * 1024;

/** Bodies above this size are streamed. */
const STREAMED_BYTES = 2 * 1024 * 1024;

interface BodyCase {
  readonly payloadBytes: number;
  readonly chunkBytes: number;
  /** Memory for all bodies of the process. */
  readonly memoryBytes?: number;
  readonly expected:
    requestBody.BodyFailure['kind'] | 'buffered' | 'streamed' | 'stream failed';
}

/**
 * Guards against a body that is cut or changed, and against one that takes more
 * memory or processor time than its length allows for.
 */
const BODIES: Readonly<Record<string, BodyCase>> = {
  'one byte a chunk': {
    payloadBytes: 20_000,
    chunkBytes: 1,
    expected: 'buffered',
  },
  'small chunks': {
    payloadBytes: 300_000,
    chunkBytes: 64,
    expected: 'buffered',
  },
  'one byte a chunk for too long': {
    payloadBytes: 1_000_000,
    chunkBytes: 1,
    expected: 'tinyChunks',
  },
  'long': {
    payloadBytes: STREAMED_BYTES,
    chunkBytes: 10_000,
    expected: 'streamed',
  },
  'long, in small chunks': {
    payloadBytes: STREAMED_BYTES,
    chunkBytes: 100,
    expected: 'streamed',
  },
  'longer than allowed': {
    payloadBytes: MAXIMUM_BYTES + 1,
    chunkBytes: 64 * 1024,
    expected: 'stream failed',
  },
  'longer than the memory': {
    payloadBytes: 200_000,
    chunkBytes: 1_000,
    memoryBytes: 100_000,
    expected: 'outOfMemory',
  },
};
for (const [name, bodyCase] of Object.entries(BODIES)) {
  test(`the body of a request: ${name}`, async t => {
    const {payloadBytes, chunkBytes, expected} = bodyCase;
    const memory = new transport.BodyMemory(bodyCase.memoryBytes);
    const payload = Buffer.alloc(payloadBytes, 'abcdefg');
    let reading!: (reading: Promise<string>) => void;
    const outcome = new Promise<string>(resolve => (reading = resolve));
    const server = new callerHttpServer.CallerHttpServer({
      clock: new runtime.SystemClock(),
      logger: runtime.silentLogger,
      metrics: new runtime.Metrics(),
      bodyMemory: memory,
      handler: async request => {
        const result = await request.readBody(MAXIMUM_BYTES);
        const described = describe(result, payload);
        reading(described);
        await described;
        return {status: 200, headers: [], body: new Uint8Array(0)};
      },
    });
    await server.listen(0, '127.0.0.1');
    t.teardown(() => server.close());
    const client = net.connect(server.port, '127.0.0.1');
    client.on('error', () => undefined);
    client.resume();
    client.write(
      'POST / HTTP/1.1\r\nHost: shop.example\r\n' +
        'Transfer-Encoding: chunked\r\n\r\n',
    );
    for (let start = 0; start < payloadBytes; start += chunkBytes) {
      const chunk = payload.subarray(start, start + chunkBytes);
      client.write(`${chunk.length.toString(16)}\r\n`);
      client.write(chunk);
      client.write('\r\n');
    }
    client.write('0\r\n\r\n');
    t.is(await outcome, expected);
    client.destroy();
    while (server.runningCount > 0) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    t.is(memory.bytes, 0);
  });
}

async function describe(
  result: requestBody.BodyResult,
  payload: Buffer,
): Promise<string> {
  if (result.kind !== 'body') return result.kind;
  const {body} = result;
  if (body === null) return 'none';
  if (body instanceof Uint8Array) {
    return payload.equals(body) ? 'buffered' : 'changed';
  }
  const chunks: Uint8Array[] = [];
  try {
    for await (const chunk of body) chunks.push(chunk);
  } catch {
    return 'stream failed';
  }
  return payload.equals(Buffer.concat(chunks)) ? 'streamed' : 'changed';
}
