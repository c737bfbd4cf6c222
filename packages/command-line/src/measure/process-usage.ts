import * as runtime from '@camphorwharf/runtime';
import * as fs from 'node:fs';

/** Linux reports CPU times to user space in this unit on every platform. */
const TICKS_PER_SECOND = 100;

/** Positions after the command name, which ends with the last `)`. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/** What a process has used so far. */
export interface ProcessUsage {
  /** User and system time together. */
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/**
 * Returns user and system time in seconds from the text of `/proc/PID/stat`.
 *
 * @throws ProtocolError when the text has another form.
 */
export function parseCpuSeconds(stat: string): number {
  // The command name may itself contain spaces and parentheses.
  const nameEnd = stat.lastIndexOf(')');
  const fields = stat
    .slice(nameEnd + 1)
    .trim()
    .split(/\s+/);
  const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
  if (nameEnd < 0 || !Number.isFinite(ticks)) {
    throw new runtime.ProtocolError(
      'The text of /proc/PID/stat has no CPU times; run the command on Linux.',
    );
  }
  return ticks / TICKS_PER_SECOND;
}

/**
 * Returns the resident memory in bytes from the text of `/proc/PID/status`.
 *
 * @throws ProtocolError when the text has no such line.
 */
export function parseResidentBytes(status: string): number {
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
  if (!match) {
    throw new runtime.ProtocolError(
      'The text of /proc/PID/status has no VmRSS line; check that the process runs.',
    );
  }
  return Number(match[1]) * 1_024;
}

/** Reads the usage of a running process. */
export function readProcessUsage(processId: number): ProcessUsage {
  const read = (file: string) =>
    fs.readFileSync(`/proc/${processId}/${file}`, 'utf8');
  return {
    cpuSeconds: parseCpuSeconds(read('stat')),
    residentBytes: parseResidentBytes(read('status')),
  };
}
