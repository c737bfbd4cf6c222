import type * as http from 'node:http';
import type * as net from 'node:net';

/** Starts a server on loopback and returns its port. */
export function listenOnLoopback(
  server: http.Server,
  port: number,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      server.off('error', reject);
      resolve((server.address() as net.AddressInfo).port);
    });
  });
}

/** Closes a server and all of its connections. */
export function closeServer(server: http.Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/** Reads a complete request body. */
export async function readBody(request: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Reads a request body as a JSON object; an empty body is an empty object. */
export async function readJson(
  request: http.IncomingMessage,
): Promise<Record<string, unknown>> {
  const text = (await readBody(request)).toString();
  return text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
}

/** Sends a JSON response; null sends no body. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  if (value === null) {
    response.writeHead(status).end();
    return;
  }
  const text = JSON.stringify(value);
  response
    .writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    })
    .end(text);
}
