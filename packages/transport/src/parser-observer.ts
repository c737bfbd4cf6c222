import type * as net from 'node:net';

/** The part of the HTTP parser of Node.js that tells what it holds. */
interface Parser {
  readonly constructor: {readonly kOnExecute?: number};
  [callback: number]: ((this: unknown, result: unknown) => unknown) | null;
  /** Names and values of fields whose section is not complete. */
  _headers: readonly string[];
  /** Milliseconds since the message began, 0 between messages. */
  duration(): number;
  headersCompleted(): boolean;
}

/** What the parser of a connection holds after a read. */
export interface ParserReading {
  readonly position: 'betweenMessages' | 'inHeaders' | 'behindHeaders';
  /** Names and values of the unfinished section, but for the last 32 fields. */
  readonly heldTexts: number;
}

/**
 * Calls `onRead` after each read of a connection has been parsed, while the
 * connection is open. A section whose end has not arrived is held by the parser
 * of Node.js, which reports it only as a whole. Without the callback of the
 * parser, which is not a documented interface, nothing is observed.
 *
 * Returns a function that frees the section of a connection that closes: the
 * parser would keep it until the close is complete.
 */
export function observeParsing(
  socket: net.Socket,
  onRead: (reading: ParserReading) => void,
): () => void {
  const {parser} = socket as {parser?: Parser};
  const index = parser?.constructor.kOnExecute;
  if (!parser || index === undefined || !isReadable(parser)) return () => {};
  const onExecute = parser[index];
  if (typeof onExecute !== 'function') return () => {};
  const freeSection = () => void (parser._headers = []);
  // Node.js removes the callback when the connection closes.
  parser[index] = function (result) {
    // The parser does not continue after an error.
    if (result instanceof Error) freeSection();
    const returned = onExecute.call(this, result);
    if (!socket.destroyed) onRead(readingOf(parser));
    return returned;
  };
  return freeSection;
}

function isReadable(parser: Partial<Parser>): boolean {
  return (
    Array.isArray(parser._headers) &&
    typeof parser.duration === 'function' &&
    typeof parser.headersCompleted === 'function'
  );
}

function readingOf(parser: Parser): ParserReading {
  return {position: positionOf(parser), heldTexts: parser._headers.length};
}

function positionOf(parser: Parser): ParserReading['position'] {
  if (parser.duration() === 0) return 'betweenMessages';
  return parser.headersCompleted() ? 'behindHeaders' : 'inHeaders';
}
