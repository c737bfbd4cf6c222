import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as performanceHooks from 'node:perf_hooks';
import test from 'ava';
import * as lineWriter from '../line-writer.js';

const LINE = '{"event":"daemon-stopped"}\n';

/** Longer than the time that the last write may take. */
const HELD_MS = 1_000;

/**
 * Guards against a process that ends itself with a signal although its log was
 * written, because it had no processor time, and against one that waits for a
 * reader that does not read.
 */
const CASES: Readonly<
  Record<
    string,
    {isPipe: boolean; isFull: boolean; isHeld: boolean; expected: boolean}
  >
> = {
  'a file': {isPipe: false, isFull: false, isHeld: false, expected: true},
  'a file, in a process without processor time': {
    isPipe: false,
    isFull: false,
    isHeld: true,
    expected: true,
  },
  'a pipe': {isPipe: true, isFull: false, isHeld: false, expected: true},
  'a pipe, in a process without processor time': {
    isPipe: true,
    isFull: false,
    isHeld: true,
    expected: true,
  },
  'a full pipe': {isPipe: true, isFull: true, isHeld: false, expected: false},
};
for (const [name, {isPipe, isFull, isHeld, expected}] of Object.entries(
  CASES,
)) {
  test.serial(`whether the last lines are written: ${name}`, async t => {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'line-writer-'));
    const file = path.join(directory, 'log');
    if (isPipe) childProcess.execFileSync('mkfifo', [file]);
    // Opened for reading as well, so that opening a pipe does not wait.
    const descriptor = fs.openSync(file, isPipe ? 'r+' : 'w');
    if (isFull) fillPipe(file);
    const writer = new lineWriter.LineWriter(descriptor);
    writer.write('last\n');
    const flushed = writer.flush();
    if (isHeld) holdProcess();
    t.is(await flushed, expected);
    if (isFull) {
      // Lets the waiting write end.
      fs.readSync(descriptor, Buffer.alloc(65_536));
    }
    fs.rmSync(directory, {recursive: true});
  });
}

function fillPipe(file: string): void {
  const {O_NONBLOCK, O_RDWR} = fs.constants;
  const descriptor = fs.openSync(file, O_RDWR | O_NONBLOCK);
  for (const bytes of [4_096, 1]) {
    try {
      for (;;) fs.writeSync(descriptor, 'x'.repeat(bytes));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EAGAIN') throw error;
    }
  }
  fs.closeSync(descriptor);
}

/** Blocks the event loop. */
function holdProcess(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, HELD_MS);
}

test.serial(
  'a flush succeeds although the process stood still after the write',
  async t => {
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
  },
);

/** Blocks the event loop until the time has passed and the condition holds. */
function standStill(isDone: () => boolean): void {
  const startedMs = performanceHooks.performance.now();
  const elapsedMs = () => performanceHooks.performance.now() - startedMs;
  while (elapsedMs() < HELD_MS || !isDone());
}
