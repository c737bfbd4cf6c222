import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import * as toml from 'smol-toml';
import * as zod from 'zod';

const port = zod.int().min(1).max(65_535);
const name = zod.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/);
const path = zod.string().startsWith('/');

const settingsSchema = zod.strictObject({
  host_id: name,
  region: name,
  availability_zone: name,
  service: name,
  listen: zod.strictObject({
    address: zod.union([zod.ipv4(), zod.ipv6()]),
    caller_port: port,
    peer_port: port,
    operator_port: port,
  }),
  backend_server: zod.strictObject({
    address: zod.union([zod.ipv4(), zod.ipv6()]),
    port,
    health_path: path.default('/health'),
    load_path: path.default('/load'),
  }),
  platform: zod.strictObject({url: zod.url({protocol: /^https?$/})}),
  peers: zod
    .strictObject({
      seeds: zod.array(zod.string().regex(/^[^\s]+:\d{1,5}$/)).default([]),
    })
    .default({seeds: []}),
  log: zod
    .strictObject({
      level: zod.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .default({level: 'info'}),
  limits: zod
    .strictObject({
      caller_connections: zod.int().min(10).max(20_000).default(2_000),
      pipelined_requests: zod.int().min(8).max(1_000).default(128),
      unanswered_requests: zod.int().min(100).max(1_000_000).default(16_384),
      unread_response_mb: zod.int().min(1).max(1_024).default(32),
      unread_seconds: zod.number().min(1).max(600).default(60),
      unfinished_section_mb: zod.int().min(1).max(1_024).default(16),
      drain_seconds: zod.number().min(1).max(600).default(30),
    })
    .prefault({}),
});

/** Validated settings of a daemon, with the field names of the TOML file. */
export type Settings = zod.infer<typeof settingsSchema>;

/** Returns the limits on connections of callers. */
export function toCallerLimits(
  limits: Settings['limits'],
): transport.CallerLimits {
  return {
    connections: limits.caller_connections,
    pipelinedRequests: limits.pipelined_requests,
    unansweredRequests: limits.unanswered_requests,
    unreadBytes: limits.unread_response_mb * 1024 * 1024,
    unreadMs: limits.unread_seconds * 1_000,
    sectionBytes: limits.unfinished_section_mb * 1024 * 1024,
  };
}

/** Advice to the operator by zod issue code. */
const REMEDY_BY_ISSUE_CODE: Readonly<Record<string, string>> = {
  unrecognized_keys: 'remove the key or correct its spelling',
  invalid_type: 'set a value of the type that is named',
  too_small: 'raise the value',
  too_big: 'lower the value',
  invalid_format: 'write the value in the form that is named',
};

/**
 * Parses and validates a settings file.
 * Throws a ConfigurationError that lists all problems with path and remedy.
 */
export function parseSettings(text: string, fileName: string): Settings {
  const parsed = parseToml(text, fileName);
  const result = settingsSchema.safeParse(parsed);
  if (result.success) return result.data;
  const problems = result.error.issues.map(issue => {
    const path = issue.path.join('.') || '(top level)';
    const remedy = REMEDY_BY_ISSUE_CODE[issue.code] ?? 'correct the value';
    return `${fileName}: ${path}: ${issue.message}; ${remedy}`;
  });
  throw new runtime.ConfigurationError(problems.join('\n'));
}

function parseToml(text: string, fileName: string): unknown {
  try {
    return toml.parse(text);
  } catch (error) {
    const line = error instanceof toml.TomlError ? `:${error.line}` : '';
    throw new runtime.ConfigurationError(
      `${fileName}${line}: not valid TOML; correct the syntax`,
      {cause: error},
    );
  }
}
