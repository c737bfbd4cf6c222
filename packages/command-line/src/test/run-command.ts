import * as stream from 'node:stream';

import * as commandLine from '../index.js';

/** Runs the command line; returns the exit code and the captured output. */
export async function run(...args: string[]) {
  const stdout = new stream.PassThrough();
  const stderr = new stream.PassThrough();
  const exitCode = await commandLine.run(args, {stdout, stderr});
  const readAll = (output: stream.PassThrough) => String(output.read() ?? '');
  return {exitCode, stdout: readAll(stdout), stderr: readAll(stderr)};
}
