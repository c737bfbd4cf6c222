import type * as parserObserver from './parser-observer.js';

/** Memory of a name or value of a field beside its characters. */
const TEXT_BYTES = 32;

/** What has arrived on a connection, after a read. */
export interface ConnectionReading extends parserObserver.ParserReading {
  /** All bytes that have been read from the connection. */
  readonly readBytes: number;
  /** Number of messages whose headers have arrived. */
  readonly messages: number;
  /** Payload that has arrived of the last message, if its body is chunked. */
  readonly chunkedBytes: number | null;
}

/**
 * Estimates the memory of the section, headers or trailers, that a client has
 * begun and not ended. The parser holds it in parts that it does not report, so
 * the bytes that may belong to it count as a whole.
 */
export class UnfinishedSection {
  private lastReadBytes = 0;
  private messages = 0;
  private position: parserObserver.ParserReading['position'] =
    'betweenMessages';
  /** Bytes read before the section or, behind headers, before the message. */
  private startBytes = 0;
  private chunkedBytes = 0;
  /** Framing of a chunked body up to the last read that brought payload. */
  private framingBytes = 0;

  /** Returns the memory of the section after a read. */
  update(reading: ConnectionReading): number {
    this.noteStart(reading);
    const sectionBytes = this.sectionBytes(reading);
    this.lastReadBytes = reading.readBytes;
    return sectionBytes + reading.heldTexts * TEXT_BYTES;
  }

  private noteStart({position, messages}: ConnectionReading): void {
    if (position === this.position && messages === this.messages) return;
    this.position = position;
    this.messages = messages;
    this.startBytes = this.lastReadBytes;
    this.chunkedBytes = 0;
    this.framingBytes = 0;
  }

  private sectionBytes(reading: ConnectionReading): number {
    switch (reading.position) {
      case 'betweenMessages':
        return 0;
      case 'inHeaders':
        return reading.readBytes - this.startBytes;
      case 'behindHeaders':
        return reading.chunkedBytes === null
          ? 0
          : this.trailerBytes(reading.readBytes, reading.chunkedBytes);
    }
  }

  /** Bytes that may be trailers: all behind the last payload. */
  private trailerBytes(readBytes: number, chunkedBytes: number): number {
    const framingBytes = readBytes - this.startBytes - chunkedBytes;
    if (chunkedBytes > this.chunkedBytes) {
      this.framingBytes =
        this.lastReadBytes - this.startBytes - this.chunkedBytes;
      this.chunkedBytes = chunkedBytes;
    }
    return framingBytes - this.framingBytes;
  }
}
