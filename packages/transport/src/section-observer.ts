import type * as net from 'node:net';
import * as parserObserver from './parser-observer.js';
import type * as sectionMemory from './section-memory.js';
import * as unfinishedSection from './unfinished-section.js';

/** What a server knows of the messages on a connection. */
export interface MessageCounter {
  /** Number of messages whose headers have arrived. */
  readonly messages: number;
  /** Payload that has arrived of the last message, if its body is chunked. */
  readonly chunkedBytes: number | null;
}

/**
 * Counts what a connection holds of an unfinished section while it is open. At
 * the limit, it is reset after a call of `onClose`, because a response could be
 * taken for that of an earlier request.
 */
export function observeSections(
  socket: net.Socket,
  memory: sectionMemory.SectionMemory,
  counter: MessageCounter,
  onClose: () => void,
): void {
  const section = new unfinishedSection.UnfinishedSection();
  let heldBytes = 0;
  const hold = (bytes: number) => {
    if (bytes === heldBytes) return;
    heldBytes = bytes;
    memory.set(holder, bytes);
  };
  const holder: sectionMemory.SectionHolder = {
    closeForMemory: () => {
      onClose();
      freeSection();
      socket.resetAndDestroy();
    },
  };
  const freeSection = parserObserver.observeParsing(socket, reading => {
    const bytes = section.update({
      ...reading,
      readBytes: socket.bytesRead,
      messages: counter.messages,
      chunkedBytes: counter.chunkedBytes,
    });
    hold(bytes);
  });
  socket.on('close', () => hold(0));
}
