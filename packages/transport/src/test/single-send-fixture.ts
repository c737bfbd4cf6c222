import * as timers from 'node:timers/promises';
import type * as ava from 'ava';
import type * as bufferedExchange from '../buffered-exchange.js';
import * as bufferedFixture from './buffered-exchange-fixture.js';
import * as http from './http-fixture.js';
import * as counter from './request-counter.js';

/** Id of the request that must not be sent twice. */
export const REQUEST_ID = '9c41d07be2a35f68';

export type ResultKind = 'answer' | 'lost' | 'notSent';

export type RequestBody = Pick<
  bufferedExchange.BufferedExchangeRequest,
  'method' | 'body' | 'contentLength'
>;

const CHUNK = new Uint8Array(1_000).fill(97);

/** Chunks of an upload of which the server reads the head first. */
const UPLOAD_CHUNKS = 5;

const CHUNK_INTERVAL_MS = 4;

async function* upload(): AsyncGenerator<Uint8Array> {
  for (let index = 0; index < UPLOAD_CHUNKS; index++) {
    yield CHUNK;
    await timers.setTimeout(CHUNK_INTERVAL_MS);
  }
}

async function* shortBody(): AsyncGenerator<Uint8Array> {
  await Promise.resolve();
  yield CHUNK;
}

export const REQUESTS: Readonly<Record<string, () => RequestBody>> = {
  'a GET request': () => ({method: 'GET', body: null, contentLength: null}),
  'a POST request without a body': () => ({
    method: 'POST',
    body: null,
    contentLength: null,
  }),
  'a POST request with a body': () => ({
    method: 'POST',
    body: CHUNK,
    contentLength: CHUNK.length,
  }),
  'a POST request with a streamed body': () => ({
    method: 'POST',
    body: shortBody(),
    contentLength: CHUNK.length,
  }),
};

export const UPLOADS: Readonly<Record<string, () => RequestBody>> = {
  'an upload with a content length': () => ({
    method: 'POST',
    body: upload(),
    contentLength: UPLOAD_CHUNKS * CHUNK.length,
  }),
  'a chunked upload': () => ({
    method: 'POST',
    body: upload(),
    contentLength: null,
  }),
};

/** A client with at most one request at a time. */
export interface Sender {
  /** Sends another request, which leaves an idle connection. */
  openConnection(): Promise<void>;
  send(request: RequestBody): Promise<ResultKind>;
  cancel(): void;
  /** Closes all connections of the client. */
  destroy(): void;
}

type SenderFactory = (t: ava.ExecutionContext, port: number) => Sender;

export const SENDERS: Readonly<Record<string, SenderFactory>> = {
  buffered: (t, port) => {
    const client = bufferedFixture.createClient(t, port, {
      maximumConnections: 1,
    });
    const send = (id: string, request: RequestBody) =>
      client.send({
        ...bufferedFixture.REQUEST,
        ...request,
        headers: [[counter.ID_HEADER, id]],
        maximumIdleMs: Infinity,
      });
    let exchange: bufferedExchange.BufferedExchange | null = null;
    return {
      openConnection: async () => {
        await send('earlier', REQUESTS['a GET request']()).result;
      },
      send: async request => {
        exchange = send(REQUEST_ID, request);
        return (await exchange.result).kind;
      },
      cancel: () => exchange?.cancel(),
      destroy: () => client.destroy(),
    };
  },
  streaming: (t, port) => {
    const client = http.backendClient(port);
    t.teardown(() => client.destroy());
    let cancelSource = new AbortController();
    const send = async (id: string, request: RequestBody) => {
      cancelSource = new AbortController();
      const {body} = request;
      const result = await client.send(
        http.backendRequest({
          ...request,
          body: body instanceof Uint8Array ? streamOf(body) : body,
          headers: [[counter.ID_HEADER, id]],
          signal: cancelSource.signal,
        }),
      );
      if (result.kind === 'answer') await readToEnd(result.body);
      return result.kind;
    };
    return {
      openConnection: async () => {
        await send('earlier', REQUESTS['a GET request']());
        // The pool reuses a connection only after this turn of the event loop.
        await timers.setImmediate();
      },
      send: request => send(REQUEST_ID, request),
      cancel: () => cancelSource.abort(),
      destroy: () => void client.destroy(),
    };
  },
};

async function* streamOf(bytes: Uint8Array): AsyncGenerator<Uint8Array> {
  await Promise.resolve();
  yield bytes;
}

async function readToEnd(body: AsyncIterable<Uint8Array>): Promise<void> {
  try {
    for await (const chunk of body) void chunk;
  } catch {
    // A truncated body is one of the cases.
  }
}
