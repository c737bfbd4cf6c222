import * as http from 'node:http';
import type * as net from 'node:net';

/** The part of the HTTP parser of Node.js that receives requests. */
interface RequestParser {
  onIncoming: ((request: unknown, keepAlive: boolean) => number) | null;
}

/** An idle parser keeps the memory of the last section that was not ended. */
const MAXIMUM_IDLE_PARSERS = 64;

/** Tells the parser of Node.js that what follows is another protocol. */
const STOP_PARSING = 2;

/**
 * Lets `mayParse` decide on each request of a connection before objects for its
 * processing exist. Node.js parses all requests of one read of 64 KiB, about
 * two thousand short ones, before a pause of the socket takes effect. Once
 * `mayParse` has returned false, the rest of the read is discarded; what is read
 * later is malformed input.
 */
export function limitParsing(
  socket: net.Socket,
  mayParse: () => boolean,
): void {
  const {parser} = socket as {parser?: RequestParser};
  const onIncoming = parser?.onIncoming;
  if (!parser || typeof onIncoming !== 'function') return;
  parser.onIncoming = function (request, keepAlive) {
    return mayParse()
      ? onIncoming.call(this, request, keepAlive)
      : STOP_PARSING;
  };
}

/** Bounds the memory that Node.js keeps for parsers of later connections. */
export function limitIdleParsers(): void {
  http.setMaxIdleHTTPParsers(MAXIMUM_IDLE_PARSERS);
}
