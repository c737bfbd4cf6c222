import * as http from 'node:http';
import type * as net from 'node:net';

/** A request whose header section has been parsed. */
interface ParsedRequest {
  /** Whether it asks to continue with another protocol. */
  readonly upgrade: boolean;
}

/** The part of the HTTP parser of Node.js that receives requests. */
interface RequestParser {
  onIncoming: ((request: ParsedRequest, keepAlive: boolean) => number) | null;
}

/** Tells the parser of Node.js that what follows is another protocol. */
const STOP_PARSING = 2;

/** An idle parser keeps the memory of the last section that was not ended. */
const MAXIMUM_IDLE_PARSERS = 64;

/** Decides what is parsed on a connection. */
export interface ParsingControl {
  /** Whether a further request is processed. */
  mayParse(): boolean;
  /** Called after a request behind which nothing is parsed. */
  endParsing(): void;
}

/**
 * Lets `control` decide on each request of a connection before objects for its
 * processing exist. Node.js parses all requests of one read of 64 KiB, about
 * two thousand short ones, before a pause of the socket takes effect. Once
 * `mayParse` has returned false, the rest of the read is discarded; what is read
 * later is malformed input. Behind a request to upgrade the connection, Node.js
 * discards all input.
 */
export function limitParsing(
  socket: net.Socket,
  control: ParsingControl,
): void {
  const {parser} = socket as {parser?: RequestParser};
  const onIncoming = parser?.onIncoming;
  if (!parser || typeof onIncoming !== 'function') return;
  parser.onIncoming = function (request, keepAlive) {
    if (!control.mayParse()) return STOP_PARSING;
    const {upgrade} = request;
    const result = onIncoming.call(this, request, keepAlive);
    if (upgrade) control.endParsing();
    return result;
  };
}

/** Bounds the memory that Node.js keeps for parsers of later connections. */
export function limitIdleParsers(): void {
  http.setMaxIdleHTTPParsers(MAXIMUM_IDLE_PARSERS);
}
