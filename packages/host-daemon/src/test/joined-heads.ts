import * as http from 'node:http';
import * as net from 'node:net';
import * as stream from 'node:stream';
import * as transport from '@camphorwharf/transport';
import type * as responseValidator from '../response-validator.js';

/** A response head in the order in which a backend server sends its fields. */
export interface SampleHead {
  readonly statusLine: string;
  readonly fields: ReadonlyArray<readonly [string, string]>;
}

/** Formats a response that declares the length of its body. */
export function formatResponse(head: SampleHead, body = ''): string {
  const fields = [...head.fields, ['Content-Length', String(body.length)]];
  const lines = fields.map(([name, value]) => `${name}: ${value}`);
  return [head.statusLine, ...lines, '', body].join('\r\n');
}

/**
 * Parses these bytes with the parser of Node.js. Returns null if they are not a
 * whole response.
 */
export function parseResponse(
  bytes: string,
): Promise<responseValidator.BackendResponse | null> {
  return new Promise(resolve => {
    const connection = new stream.Duplex({
      read: () => undefined,
      write: (_chunk, _encoding, callback) => callback(),
    });
    const request = http.request({
      createConnection: () => connection,
    });
    request.on('error', () => resolve(null));
    request.on('response', response => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => resolve(null));
      response.on('end', () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: pairHeaders(response.rawHeaders),
          body: Buffer.concat(chunks),
          hasTrailingBytes: false,
        }),
      );
    });
    request.end();
    connection.push(Buffer.from(bytes, 'latin1'));
    connection.push(null);
  });
}

/** A backend server that writes given bytes, and the client of the daemon. */
export class RawServer {
  private bytes = '';
  private readonly client: transport.BufferedExchangeClient;

  private constructor(private readonly server: net.Server) {
    server.on('connection', socket => {
      socket.on('error', () => undefined);
      socket.on('data', () => socket.write(this.bytes, 'latin1'));
    });
    const {port} = server.address() as net.AddressInfo;
    this.client = new transport.BufferedExchangeClient({
      address: '127.0.0.1',
      port,
      nowMs: () => 0,
      maximumConnections: () => 4,
    });
  }

  static start(): Promise<RawServer> {
    const server = net.createServer();
    return new Promise(resolve =>
      server.listen(0, '127.0.0.1', () => resolve(new RawServer(server))),
    );
  }

  /** Sends a request that is answered with these bytes. */
  exchange(bytes: string): Promise<transport.BufferedExchangeResult> {
    this.bytes = bytes;
    return this.client.send({
      method: 'GET',
      path: '/',
      headers: [],
      body: null,
      contentLength: null,
      maximumIdleMs: 0,
    }).result;
  }

  close(): void {
    this.client.destroy();
    this.server.close();
  }
}

function pairHeaders(
  rawHeaders: readonly string[],
): Array<readonly [string, string]> {
  return rawHeaders.flatMap((name, index) =>
    index % 2 === 0 ? [[name, rawHeaders[index + 1]] as const] : [],
  );
}
