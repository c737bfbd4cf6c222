import * as http from 'node:http';
import type * as net from 'node:net';
import type * as runtime from '@camphorwharf/runtime';
import type * as callerConnection from './caller-connection.js';

/** Ends a connection whose input is not HTTP, or not complete in time. */
export function endConnection(
  error: Error,
  socket: net.Socket,
  connection: callerConnection.CallerConnection | undefined,
  metrics: Pick<runtime.Metrics, 'count'>,
): void {
  const {code} = error as NodeJS.ErrnoException;
  // The parser fails again on each further input.
  if (connection?.discardInput()) return;
  if (!connection || code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  metrics.count(
    'caller_connections_refused_total',
    'Connections of callers ended because of malformed input, by cause.',
    {cause: code ?? 'malformed'},
  );
  const status =
    code === 'HPE_HEADER_OVERFLOW'
      ? 431
      : code === 'ERR_HTTP_REQUEST_TIMEOUT'
        ? 408
        : 400;
  const hadRequests = connection.size > 0;
  if (connection.handleMalformedInput()) return;
  // A response here would be taken for that of the request that was cut off.
  if (hadRequests) {
    socket.resetAndDestroy();
    return;
  }
  connection.closeWith(
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\n` +
      'Content-Length: 0\r\nConnection: close\r\n\r\n',
  );
}
