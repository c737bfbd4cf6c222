import test from 'ava';
import * as responseHead from '../response-head.js';
import * as bufferedFixture from './buffered-exchange-fixture.js';
import * as http from './http-fixture.js';

type Headers = responseHead.ResponseHead['headers'];

const LENGTH = ['Content-Length', '5'] as const;
const CHUNKED = ['Transfer-Encoding', 'chunked'] as const;

/**
 * Guards against a refusal whose head is continued by another response: it must
 * not prove that a request has not run.
 */
const FAULTY_HEADS: Readonly<Record<string, responseHead.ResponseHead>> = {
  'a status line in the reason phrase': {
    statusMessage: 'Service UnavailHTTP/1.1 200 OK',
    headers: [LENGTH],
  },
  'a status line as the reason phrase': {
    statusMessage: 'HTTP/1.1 200',
    headers: [LENGTH],
  },
  'a status line in a header': head([['X-Not-Run', 'HTTP/1.1 200 OK']]),
  'a status line of HTTP/1.0 behind a value': head([
    ['Retry-After', '0.4HTTP/1.0 500 Internal Server Error'],
  ]),
  'content-length and transfer-encoding': head([LENGTH, CHUNKED]),
  'two content lengths': head([LENGTH, ['content-length', '6']]),
  'a list of content lengths': head([['Content-Length', '5, 5']]),
  'a negative content length': head([['Content-Length', '-5']]),
  'an empty content length': head([['Content-Length', '']]),
  'a transfer encoding without chunked': head([
    ['Transfer-Encoding', 'identity'],
  ]),
  'an empty transfer encoding': head([['Transfer-Encoding', '']]),
  'a transfer encoding after chunked': head([CHUNKED], 'gzip'),
  'chunked twice': head([CHUNKED], 'chunked'),
  'a connection option that is not a token': head([
    ['Connection', 'keep-alive close'],
  ]),
};

/** Guards against sound responses that count as lost. */
const SOUND_HEADS: Readonly<Record<string, responseHead.ResponseHead>> = {
  'no headers': head([]),
  'a content length': head([LENGTH]),
  'the same content length twice': head([LENGTH, ['content-length', '5']]),
  'chunked': head([CHUNKED]),
  'chunked in capitals': head([['TRANSFER-ENCODING', 'Chunked']]),
  'chunked after another coding': head([
    ['Transfer-Encoding', 'gzip, chunked'],
  ]),
  'connection: close': head([LENGTH, ['Connection', 'Close']]),
  'several connection options': head([
    LENGTH,
    ['Connection', 'keep-alive, , X-Trace'],
    ['connection', 'Upgrade'],
  ]),
  'an empty connection header': head([LENGTH, ['Connection', '']]),
  'keep-alive': head([['Keep-Alive', 'timeout=5, max=100']]),
  'a proxy': head([['Via', 'HTTP/1.1 proxy, HTTP/2 edge']]),
  'a proxy whose name begins with digits': head([['Via', 'HTTP/1.1 10-proxy']]),
  'a proxy with a name of digits': head([['Via', 'HTTP/1.1 100-proxy']]),
  'a proxy with an address': head([['Via', 'HTTP/1.1 192.168.0.1:8080']]),
  'a product': head([['Server', 'Apache/2.4.1 (Unix) HTTP/1.1']]),
  'an upgrade': head([['Upgrade', 'HTTP/2.0, SHTTP/1.3']]),
  'a link': head([['Location', 'http://127.0.0.1:8080/1.1 200']]),
  'no reason phrase': {statusMessage: '', headers: [LENGTH]},
  'a long reason phrase': {
    statusMessage: 'HTTP Version Not Supported',
    headers: [LENGTH],
  },
  'repeated headers': head([
    ['Set-Cookie', 'a=1'],
    ['Set-Cookie', 'a=2'],
    ['Retry-After', '0.4'],
  ]),
};

for (const [name, faultyHead] of Object.entries(FAULTY_HEADS)) {
  test(`a response head is faulty: ${name}`, t => {
    const error = responseHead.findHeadError(faultyHead);
    t.regex(error?.message ?? '', /Check whether the backend server/);
  });
}

for (const [name, soundHead] of Object.entries(SOUND_HEADS)) {
  test(`a response head is sound: ${name}`, t => {
    t.is(responseHead.findHeadError(soundHead), null);
  });
}

/** Responses without a length, of which a truncated one looks complete. */
const RESPONSES_WITHOUT_LENGTH: Readonly<Record<string, string>> = {
  'transfer-encoding: identity': 'Transfer-Encoding: identity\r\n',
  'transfer-encoding: gzip': 'Transfer-Encoding: gzip\r\n',
  'an empty transfer-encoding': 'Transfer-Encoding:\r\n',
};
for (const [name, header] of Object.entries(RESPONSES_WITHOUT_LENGTH)) {
  const response = `HTTP/1.1 200 OK\r\nConnection: close\r\n${header}\r\nhel`;

  test(`a response with ${name} is lost to the buffered client`, async t => {
    // Guards against a truncated body that is passed on as complete.
    const backend = await http.startRawBackend(socket =>
      socket.once('data', () => socket.end(response)),
    );
    t.teardown(() => backend.close());
    const client = bufferedFixture.createClient(t, backend.port, {
      maximumConnections: 1,
    });
    t.is((await client.send(bufferedFixture.REQUEST).result).kind, 'lost');
  });

  test(`a response with ${name} is lost to the streaming client`, async t => {
    // Guards against a truncated body that is passed on as complete.
    const backend = await http.startRawBackend(socket =>
      socket.once('data', () => socket.end(response)),
    );
    t.teardown(() => backend.close());
    const client = http.backendClient(backend.port);
    t.is((await client.send(http.backendRequest())).kind, 'lost');
    await client.destroy();
  });
}

/** `coding` is that of a second transfer-encoding header. */
function head(headers: Headers, coding?: string): responseHead.ResponseHead {
  return {
    statusMessage: 'OK',
    headers: coding ? [...headers, ['transfer-encoding', coding]] : headers,
  };
}
