import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as settingsFile from '../settings.js';

const VALID = `
host_id = "host-1"
region = "jordan"
availability_zone = "amman-a"
service = "catalogue"

[listen]
address = "127.0.0.1"
caller_port = 7000
peer_port = 7001
operator_port = 7002

[backend_server]
address = "::1"
port = 8080

[platform]
url = "http://127.0.0.1:9000"
`;

function problemsOf(text: string): string[] {
  try {
    settingsFile.parseSettings(text, 'daemon.toml');
  } catch (error) {
    if (error instanceof runtime.ConfigurationError) {
      return error.message.split('\n');
    }
    throw error;
  }
  return [];
}

test('settings: accepts a valid file and applies defaults', t => {
  // Guards against a valid file that is refused or loses its defaults.
  const settings = settingsFile.parseSettings(VALID, 'daemon.toml');
  t.like(settings, {
    host_id: 'host-1',
    listen: {caller_port: 7000, peer_port: 7001, operator_port: 7002},
    backend_server: {
      address: '::1',
      port: 8080,
      health_path: '/health',
      load_path: '/load',
    },
    platform: {url: 'http://127.0.0.1:9000'},
    peers: {seeds: []},
    log: {level: 'info'},
    limits: {
      caller_connections: 2_000,
      pipelined_requests: 128,
      unanswered_requests: 16_384,
      unread_response_mb: 32,
      unread_seconds: 60,
      unfinished_section_mb: 16,
      drain_seconds: 30,
    },
  });
});

for (const [name, value, remedy] of [
  ['pipelined_requests', 7, 'raise'],
  ['pipelined_requests', 1_001, 'lower'],
  ['unanswered_requests', 99, 'raise'],
  ['unanswered_requests', 1_000_001, 'lower'],
  ['unread_response_mb', 0, 'raise'],
  ['unread_response_mb', 1_025, 'lower'],
  ['unread_seconds', 0.5, 'raise'],
  ['unread_seconds', 601, 'lower'],
  ['unfinished_section_mb', 0, 'raise'],
  ['unfinished_section_mb', 1_025, 'lower'],
] as const) {
  test(`settings: refuses limits.${name} = ${value}`, t => {
    // Guards against a limit that refuses ordinary callers or bounds nothing.
    const problems = problemsOf(`${VALID}\n[limits]\n${name} = ${value}\n`);
    t.is(problems.length, 1);
    t.true(problems[0].includes(`limits.${name}: `));
    t.true(problems[0].includes(`; ${remedy} the value`));
  });
}

/**
 * Text, replacement, path and remedy of edits that cause one problem each.
 * Guards against problems that are missed or lack their path or remedy.
 */
const EDITS: ReadonlyArray<readonly [string, string, string, RegExp]> = [
  ['host_id = "host-1"', 'host_id = "Host 1"', 'host_id', /form/],
  ['caller_port = 7000', 'caller_port = 0', 'listen.caller_port', /raise/],
  ['peer_port = 7001', 'peer_port = 65536', 'listen.peer_port', /lower/],
  ['operator_port = 7002', '', 'listen.operator_port', /type/],
  ['port = 8080', 'port = "8080"', 'backend_server.port', /type/],
  ['url = "http:', 'url = "ftp:', 'platform.url', /form/],
  ['service = "c', 'servise = 1\nservice = "c', '\\(top level\\)', /spelling/],
  ['[platform]', '[log]\nlevel = "all"\n[platform]', 'log.level', /correct/],
];

for (const [before, after, path, remedy] of EDITS) {
  test(`settings: reports a problem at ${path}`, t => {
    const text = VALID.replace(before, after);
    t.not(text, VALID);
    const problems = problemsOf(text);
    t.is(problems.length, 1);
    t.regex(problems[0], new RegExp(`^daemon\\.toml: ${path}: .+; `));
    t.regex(problems[0].split('; ').at(-1) ?? '', remedy);
  });
}

test('settings: reports all problems together', t => {
  // Guards against a report that ends at the first problem.
  const text = EDITS.reduce(
    (edited, [before, after]) => edited.replace(before, after),
    VALID,
  );
  const problems = problemsOf(text);
  t.is(problems.length, EDITS.length);
  for (const [, , path] of EDITS) {
    t.true(
      problems.some(problem => new RegExp(`: ${path}: `).test(problem)),
      path,
    );
  }
});

test('settings: reports the line of a syntax error', t => {
  // Guards against a syntax error that has to be searched in the whole file.
  const text = 'host_id = "a"\nregion = \nservice = "b"\n';
  t.true(
    problemsOf(text).includes(
      'daemon.toml:2: not valid TOML; correct the syntax',
    ),
  );
});
