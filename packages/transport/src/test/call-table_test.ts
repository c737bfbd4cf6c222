import * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as bodyMemory from '../body-memory.js';
import * as callTable from '../call-table.js';
import type * as frameWriter from '../frame-writer.js';
import * as fixture from './peer-fixture.js';

test('a call whose frame ends the connection is lost at once', async t => {
  // Guards against a call that waits until its deadline, because its frame
  // exceeded the output limit and the connection ended before it was recorded.
  const table: callTable.CallTable = new callTable.CallTable({
    writer: {
      writeEncoded: () =>
        table.failAll(new runtime.ConnectionError('Output full.')),
    } as unknown as frameWriter.FrameWriter,
    memory: new bodyMemory.BodyMemory(),
    initiator: true,
    onCall: () => Promise.resolve(),
    onDropped: () => undefined,
    onHandlerError: () => undefined,
  });
  const abort = new AbortController();
  const calling = table.start(
    fixture.callHead(),
    null,
    {heartbeatNumber: 0, elapsedMs: 0, remainingMs: 2_000},
    abort.signal,
    7,
  );
  const undecided = new Promise(resolve => setImmediate(resolve));
  t.deepEqual(await Promise.race([calling, undecided]), {
    kind: 'lost',
    sent: true,
    sentAfterMs: 7,
  });
  t.true(table.idle);
});

test('a call whose frame is too large leaves no call in flight', async t => {
  // Guards against a connection that is never idle again.
  const table = new callTable.CallTable({
    writer: {
      write: () => t.fail('A frame was written.'),
      writeEncoded: () => t.fail('A frame was written.'),
    } as unknown as frameWriter.FrameWriter,
    memory: new bodyMemory.BodyMemory(),
    initiator: true,
    onCall: () => Promise.resolve(),
    onDropped: () => undefined,
    onHandlerError: () => undefined,
  });
  const abort = new AbortController();
  const permission = {heartbeatNumber: 0, elapsedMs: 0, remainingMs: 2_000};
  await t.throwsAsync(
    table.start(
      fixture.callHead({path: '/'.repeat(protocol.MAXIMUM_FRAME_BYTES)}),
      null,
      permission,
      abort.signal,
    ),
    {instanceOf: runtime.ProtocolError},
  );
  t.true(table.idle);
  // A listener that is left behind would write a cancel frame.
  abort.abort();
});
