import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as performanceHooks from 'node:perf_hooks';
import test from 'ava';
import * as lineWriter from '../line-writer.js';

const LINE = '{"event":"daemon-stopped"}\n';

/** Longer than the time after which a write counts as blocked. */
const STANDSTILL_MS = 300;

test('a flush succeeds although the process stood still after the write', async t => {
  // Guards against a planned stop that ends with SIGKILL instead of code 0: the
  // timer of the flush is due before the end of the write is noticed.
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'line-writer-'));
  const file = path.join(directory, 'log');
  const fileDescriptor = fs.openSync(file, 'w');
  t.teardown(() => {
    fs.closeSync(fileDescriptor);
    fs.rmSync(directory, {recursive: true});
  });
  const writer = new lineWriter.LineWriter(fileDescriptor);
  writer.write(LINE);
  const flushed = writer.flush();
  standStill(() => fs.readFileSync(file, 'utf8') === LINE);
  t.true(await flushed);
});

/** Blocks the event loop until the time has passed and the condition holds. */
function standStill(isDone: () => boolean): void {
  const startedMs = performanceHooks.performance.now();
  const elapsedMs = () => performanceHooks.performance.now() - startedMs;
  while (elapsedMs() < STANDSTILL_MS || !isDone());
}
