import * as stream from 'node:stream';

import * as commandLine from '../index.js';

/** Runs the command line and collects what it prints. */
export async function run(...words: string[]) {
  const stdout = new stream.PassThrough();
  const stderr = new stream.PassThrough();
  const exitCode = await commandLine.run(words, {stdout, stderr});
  const read = (from: stream.PassThrough) => String(from.read() ?? '');
  return {exitCode, stdout: read(stdout), stderr: read(stderr)};
}
