import * as net from 'node:net';
import type * as ava from 'ava';

export const ID_HEADER = 'Camphorwharf-Request-Id';

export interface ReceivedRequest {
  readonly id: string;
  readonly socket: net.Socket;
}

/** What a server does as it reads requests. */
export interface ServerBehaviour {
  /** Called when the head of a request with a body has been read. */
  readonly onHead?: (request: ReceivedRequest) => void;
  /** Called when a request has been read completely. */
  readonly onRequest: (request: ReceivedRequest) => void;
}

export interface RequestCounter {
  readonly port: number;
  /** Heads read, by request id. */
  readonly heads: ReadonlyMap<string, number>;
  /** Requests read completely, by request id. */
  readonly requests: ReadonlyMap<string, number>;
  /** Number of the last connection that a request arrived on, by its id. */
  readonly connectionNumbers: ReadonlyMap<string, number>;
  readonly connections: number;
}

/**
 * Starts a server that counts the requests it reads and whose output is written
 * by the test. It closes at the end of the test.
 */
export async function startRequestCounter(
  t: ava.ExecutionContext,
  behaviour: ServerBehaviour,
): Promise<RequestCounter> {
  const heads = new Map<string, number>();
  const requests = new Map<string, number>();
  const connectionNumbers = new Map<string, number>();
  const sockets = new Set<net.Socket>();
  let connections = 0;
  const server = net.createServer({noDelay: true}, socket => {
    sockets.add(socket);
    const connectionNumber = ++connections;
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    let text = '';
    let isHeadCounted = false;
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      for (;;) {
        const headEnd = text.indexOf('\r\n\r\n');
        if (headEnd < 0) return;
        const head = text.slice(0, headEnd);
        const id = /^camphorwharf-request-id: (\S+)$/im.exec(head)?.[1] ?? '';
        if (!isHeadCounted) {
          isHeadCounted = true;
          heads.set(id, (heads.get(id) ?? 0) + 1);
          connectionNumbers.set(id, connectionNumber);
          const hasBody = /^(content-length|transfer-encoding): /im.test(head);
          if (hasBody) behaviour.onHead?.({id, socket});
        }
        const end = findEnd(head, text.slice(headEnd + 4));
        if (end === null) return;
        text = text.slice(headEnd + 4 + end);
        isHeadCounted = false;
        requests.set(id, (requests.get(id) ?? 0) + 1);
        behaviour.onRequest({id, socket});
      }
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    heads,
    requests,
    connectionNumbers,
    get connections() {
      return connections;
    },
  };
}

/** Returns the length of the body, or null if it is incomplete. */
function findEnd(head: string, rest: string): number | null {
  const length = /^content-length: (\d+)$/im.exec(head)?.[1];
  if (length !== undefined) {
    return rest.length >= Number(length) ? Number(length) : null;
  }
  if (!/^transfer-encoding: chunked$/im.test(head)) return 0;
  const lastChunk = '0\r\n\r\n';
  if (rest.startsWith(lastChunk)) return lastChunk.length;
  const end = rest.indexOf(`\r\n${lastChunk}`);
  return end < 0 ? null : end + 2 + lastChunk.length;
}
