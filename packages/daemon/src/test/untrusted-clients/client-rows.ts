import * as standIns from '@camphorwharf/stand-ins';
import * as fixture from '../declaration-fixture.js';
import * as daemonProcess from './daemon-process.js';

/** Requests of one write of a pipelining client. */
const SHORT_REQUESTS = 2_000;
const LONG_REQUESTS = 200;

/** One kind of load, with the number of connections at a time. */
export interface ClientRow {
  readonly name: string;
  readonly port: 'callers' | 'operators';
  readonly connections: number;
  readonly behaviour: standIns.ClientBehaviour;
  /** Absent for `DEFAULT_ROW_LIMITS`. */
  readonly limits?: RowLimits;
}

/** Limits of the daemon of a row, and the bounds that are checked. */
export interface RowLimits {
  readonly memoryMb: number;
  readonly heapMb: number;
  readonly callerConnections: number;
  /** Those of callers, operators, peers, platform, backend server and files. */
  readonly maximumDescriptors: number;
}

/** Lower than on a host, so that few clients suffice. */
export const DEFAULT_ROW_LIMITS: RowLimits = {
  memoryMb: 224,
  heapMb: 96,
  callerConnections: 200,
  maximumDescriptors: 350,
};

/** For rows of many connections, of which each holds little. */
const SECTION_LIMITS: RowLimits = {
  memoryMb: 176,
  heapMb: 48,
  callerConnections: 600,
  maximumDescriptors: 750,
};
const SECTION_CONNECTIONS = 590;

/**
 * Fields of a section that is not ended, as many as the HTTP parser accepts,
 * whose limit is 17 KiB.
 */
const UNFINISHED_FIELDS = standIns.tinyFields(4_200);

const HEADER_START = 'GET /parts/public/1 HTTP/1.1\r\nHost: shop.example\r\n';
const BARE_REQUEST = 'GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n';
const METRICS_REQUEST = 'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n';

function knownRequest(method: string, path: string, headers = ''): string {
  return (
    `${method} ${path} HTTP/1.1\r\nHost: shop.example\r\n` +
    `Authorization: Bearer ${fixture.KEY}\r\n${headers}\r\n`
  );
}

const SHORT_REQUEST = knownRequest('GET', '/parts/public/1');
const CHUNKED_REQUEST = knownRequest(
  'POST',
  '/parts/public/upload',
  'Transfer-Encoding: chunked\r\n',
);
const TRAILER_START = `${CHUNKED_REQUEST}5\r\nhello\r\n0\r\n`;
const UPGRADE_REQUEST = knownRequest(
  'GET',
  '/parts/public/1',
  'Connection: Upgrade\r\nUpgrade: other\r\n',
);

/** Requests of one connection that are processed at the same time. */
const CONCURRENT_REQUESTS = 8;
const TINY_CHUNKS = 16_000;
const MANY_FIELD_REQUESTS = 60;
const LONG_REQUEST = knownRequest('GET', daemonProcess.LONG_PATH);

const UPLOAD_BYTES = 1_000_000;
const STALLED_UPLOAD =
  knownRequest(
    'POST',
    '/parts/public/upload',
    `Content-Length: ${UPLOAD_BYTES}\r\n`,
  ) + 'x'.repeat(UPLOAD_BYTES * 0.9);

export const CLIENT_ROWS: readonly ClientRow[] = [
  {
    name: 'pipelined requests without headers, responses unread',
    port: 'callers',
    connections: 40,
    behaviour: standIns.sendWithoutEnd(BARE_REQUEST.repeat(SHORT_REQUESTS)),
  },
  {
    name: 'pipelined short requests of a known client, responses unread',
    port: 'callers',
    connections: 40,
    behaviour: standIns.sendWithoutEnd(SHORT_REQUEST.repeat(SHORT_REQUESTS)),
  },
  {
    name: 'pipelined long downloads of a known client, responses unread',
    port: 'callers',
    connections: 40,
    behaviour: standIns.sendOnce(LONG_REQUEST.repeat(LONG_REQUESTS)),
  },
  {
    name: 'long downloads read slowly',
    port: 'callers',
    connections: 60,
    behaviour: standIns.readSlowly(LONG_REQUEST),
  },
  {
    name: 'long downloads not read',
    port: 'callers',
    connections: 60,
    behaviour: standIns.sendOnce(LONG_REQUEST),
  },
  {
    name: 'header sections without end',
    port: 'callers',
    connections: 40,
    behaviour: standIns.sendWithoutEnd('x-a: b\r\n'.repeat(512), HEADER_START),
  },
  {
    name: 'header sections that stop half-way',
    port: 'callers',
    connections: 600,
    behaviour: standIns.sendOnce(HEADER_START),
  },
  {
    name: 'uploads that stop half-way',
    port: 'callers',
    connections: 100,
    behaviour: standIns.sendOnce(STALLED_UPLOAD),
  },
  {
    name: 'idle connections',
    port: 'callers',
    connections: 600,
    behaviour: () => undefined,
  },
  {
    name: 'connections opened and closed',
    port: 'callers',
    connections: 40,
    behaviour: standIns.sendAndClose(SHORT_REQUEST),
  },
  {
    name: 'header sections of many short fields that stop before their end',
    port: 'callers',
    connections: SECTION_CONNECTIONS,
    behaviour: standIns.sendOnce(HEADER_START + UNFINISHED_FIELDS),
    limits: SECTION_LIMITS,
  },
  {
    name: 'trailers of many short fields that stop before their end',
    port: 'callers',
    connections: SECTION_CONNECTIONS,
    behaviour: standIns.sendOnce(TRAILER_START + UNFINISHED_FIELDS),
    limits: SECTION_LIMITS,
  },
  {
    name: 'trailers without end in small writes with pauses',
    port: 'callers',
    connections: SECTION_CONNECTIONS,
    behaviour: standIns.sendWithPauses(standIns.tinyFields(32), TRAILER_START),
    limits: SECTION_LIMITS,
  },
  {
    name: 'trailers without end',
    port: 'callers',
    connections: 40,
    behaviour: standIns.sendWithoutEnd(
      standIns.shortFields(512),
      TRAILER_START,
    ),
  },
  {
    name: 'uploads in chunks of one byte behind unread downloads',
    port: 'callers',
    connections: 40,
    behaviour: standIns.sendOnce(
      LONG_REQUEST.repeat(CONCURRENT_REQUESTS) +
        CHUNKED_REQUEST +
        standIns.bodyInTinyChunks(TINY_CHUNKS),
    ),
  },
  {
    name: 'pipelined requests of many short fields behind unread downloads',
    port: 'callers',
    connections: 40,
    behaviour: standIns.sendOnce(
      LONG_REQUEST.repeat(CONCURRENT_REQUESTS) +
        knownRequest(
          'GET',
          '/parts/public/1',
          standIns.tinyFields(3_900),
        ).repeat(MANY_FIELD_REQUESTS),
    ),
  },
  {
    name: 'pipelined requests without a Host header, responses unread',
    port: 'callers',
    connections: 40,
    behaviour: standIns.sendWithoutEnd(
      'GET / HTTP/1.1\r\n\r\n'.repeat(SHORT_REQUESTS),
    ),
  },
  {
    name: 'pipelined requests with an unknown expectation, responses unread',
    port: 'callers',
    connections: 40,
    behaviour: standIns.sendWithoutEnd(
      `${HEADER_START}Expect: a\r\n\r\n`.repeat(SHORT_REQUESTS),
    ),
  },
  {
    name: 'bytes without end after a request to upgrade the connection',
    port: 'callers',
    connections: 40,
    behaviour: standIns.sendWithoutEnd('x'.repeat(64 * 1024), UPGRADE_REQUEST),
  },
  {
    name: 'bytes without end that are not HTTP',
    port: 'callers',
    connections: 40,
    behaviour: standIns.sendWithoutEnd('\x00'.repeat(64 * 1024)),
  },
  {
    name: 'pipelined requests to the operator server, responses unread',
    port: 'operators',
    connections: 40,
    behaviour: standIns.sendWithoutEnd(METRICS_REQUEST.repeat(SHORT_REQUESTS)),
  },
  {
    name: 'idle connections to the operator server',
    port: 'operators',
    connections: 600,
    behaviour: () => undefined,
  },
];
