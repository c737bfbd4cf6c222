import * as fs from 'node:fs';
import * as util from 'node:util';
import * as runtime from '@camphorwharf/runtime';
import * as daemons from './daemon.js';
import * as settingsFile from './settings.js';

const USAGE = `Usage: camphorwharfd --settings FILE

Runs the daemon of one host. FILE is a TOML file; see docs/operators/settings.md.

Signals:
  SIGTERM, SIGINT   planned stop: finishes running calls, then ends with code 0

Exit codes:
  0  planned stop
  1  the settings are not valid, or a port could not be opened
  2  wrong command line
  3  the planned stop reached its time limit and cut calls
`;

const EXIT_START_FAILED = 1;
const EXIT_USAGE = 2;
const EXIT_STOP_TIMED_OUT = 3;

async function main(): Promise<number> {
  let file: string | undefined;
  try {
    const {values} = util.parseArgs({
      options: {settings: {type: 'string'}, help: {type: 'boolean'}},
    });
    if (values.help) {
      process.stdout.write(USAGE);
      return 0;
    }
    file = values.settings;
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n\n${USAGE}`);
    return EXIT_USAGE;
  }
  if (file === undefined) {
    process.stderr.write(USAGE);
    return EXIT_USAGE;
  }
  return run(file);
}

async function run(file: string): Promise<number> {
  let daemon: daemons.Daemon;
  try {
    const settings = settingsFile.parseSettings(
      fs.readFileSync(file, 'utf8'),
      file,
    );
    daemon = new daemons.Daemon(settings, {
      clock: new runtime.SystemClock(),
      random: new runtime.SystemRandom(),
      logger: runtime.createLogger('camphorwharfd', settings.log.level),
    });
    await daemon.start();
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    return EXIT_START_FAILED;
  }
  process.stdout.write(`${JSON.stringify({event: 'started'})}\n`);
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => daemon.beginStop());
  }
  const complete = await daemon.stopped;
  return complete ? 0 : EXIT_STOP_TIMED_OUT;
}

process.exitCode = await main();
// Exit explicitly: open sockets to unresponsive peers keep the process alive.
process.exit();
