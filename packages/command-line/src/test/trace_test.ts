import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import test from 'ava';

import * as logLines from '../log-lines.js';
import * as runCommand from './run-command.js';

const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'camphorwharf-trace-'));
test.after.always(() => fs.rmSync(directory, {recursive: true}));

/** Returns a log line of a daemon, `second` seconds after a fixed time. */
function logLine(second: number, event: string, fields: object = {}): string {
  const date = new Date(1_700_000_000_000 + second * 1_000).toISOString();
  return JSON.stringify({event, ...fields, _meta: {date}});
}

function writeLogFile(name: string, lines: readonly string[]): string {
  const target = path.join(directory, name);
  fs.writeFileSync(target, lines.join('\n'));
  return target;
}

const requestId = 'request-1';
const entryLog = writeLogFile('host-a.log', [
  logLine(0, 'configuration-in-force', {version: 3}),
  logLine(1, 'configuration-in-force', {version: 4}),
  logLine(2, 'request-refused', {
    requestId: 'request-2',
    reason: 'noTarget',
  }),
  'a line of another program {"event":1}',
  '{"event":"request-refused","requestId":"request-1"',
  logLine(5, 'request-refused', {
    requestId,
    reason: 'overloaded',
    nested: null,
  }),
  logLine(6, 'configuration-in-force', {version: 5}),
]);
const targetLog = writeLogFile('collected.txt', [
  `   0.5 host-b ${logLine(3, 'request-retried', {requestId, attempt: 1, instance: 'i-1', concludedBy: 'backendServer'})}`,
  `   0.5 host-b ${logLine(2.9, 'attempt-ended', {requestId, attempt: 1, sign: 'notExecutedField', connectionUses: 7})}`,
  `   0.5 host-b ${logLine(2, 'standstill-suspected', {uncountedMs: 900})}`,
  `   0.5 host-c ${logLine(1, 'platform-lost')}`,
]);

test('trace prints the decisions of all hosts ordered by time', async t => {
  // Guards against a trace that omits the lines of a host, and against a state
  // that was not yet, or no longer, in force when a host decided.
  const {exitCode, stdout, stderr} = await runCommand.run(
    'trace',
    requestId,
    entryLog,
    targetLog,
  );
  t.is(exitCode, 0, stderr);
  const rows = stdout.trimEnd().split('\n').slice(1);
  t.deepEqual(
    rows.map(row => row.split(/\s{2,}/).slice(1)),
    [
      ['host-a', 'configuration-in-force', 'version=4'],
      ['host-b', 'standstill-suspected', 'uncountedMs=900'],
      [
        'host-b',
        'attempt-ended',
        'attempt=1 sign=notExecutedField connectionUses=7',
      ],
      [
        'host-b',
        'request-retried',
        'attempt=1 instance=i-1 concludedBy=backendServer',
      ],
      ['host-a', 'request-refused', 'reason=overloaded'],
    ],
  );
});

const CASES: ReadonlyArray<readonly [string, string[], number, RegExp]> = [
  [
    'JSON',
    ['trace', '--json', requestId, entryLog],
    0,
    /"reason": "overloaded"/,
  ],
  [
    'an id that no line contains',
    ['trace', 'request-9', entryLog],
    1,
    /add the logs/,
  ],
  ['a missing file', ['trace', 'x', 'none.log'], 1, /none\.log: cannot/],
  ['no file', ['trace', requestId], 2, /Not enough positional/],
];
for (const [name, args, exitCode, expected] of CASES) {
  test(`trace with ${name} exits with ${exitCode}`, async t => {
    const result = await runCommand.run(...args);
    t.is(result.exitCode, exitCode);
    t.regex(exitCode === 0 ? result.stdout : result.stderr, expected);
  });
}

const LINES: ReadonlyArray<readonly [string, string]> = [
  ['text without JSON', 'started'],
  ['JSON that is not an object', '["event"]{'],
  ['an object without an event', '{"_meta":{"date":"2026-01-01"}}'],
  ['an event without a time', '{"event":"request-refused"}'],
];
for (const [name, text] of LINES) {
  test(`skipped because it is not a log line: ${name}`, t => {
    t.is(logLines.parseLogLine(text, 'host-a'), null);
  });
}
