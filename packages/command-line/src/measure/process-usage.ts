import * as runtime from '@camphorwharf/runtime';
import * as fs from 'node:fs';

/** USER_HZ, the unit of CPU times in /proc, the same on every platform. */
const TICKS_PER_SECOND = 100;

/** Indexes of the fields after the command name, which ends at the last `)`. */
const USER_TICKS_INDEX = 11;
const SYSTEM_TICKS_INDEX = 12;

/** Resource usage of a process since its start. */
export interface ProcessUsage {
  /** Sum of user and system time. */
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/**
 * Parses the user and system time in seconds from `/proc/PID/stat`.
 *
 * @throws ProtocolError when the text has another format.
 */
export function parseCpuSeconds(stat: string): number {
  // The command name can contain spaces and parentheses.
  const nameEnd = stat.lastIndexOf(')');
  const fields = stat
    .slice(nameEnd + 1)
    .trim()
    .split(/\s+/);
  const ticks =
    Number(fields[USER_TICKS_INDEX]) + Number(fields[SYSTEM_TICKS_INDEX]);
  if (nameEnd < 0 || !Number.isFinite(ticks)) {
    throw new runtime.ProtocolError(
      'The text of /proc/PID/stat has no CPU times; run the command on Linux.',
    );
  }
  return ticks / TICKS_PER_SECOND;
}

/**
 * Parses the resident memory in bytes from `/proc/PID/status`.
 *
 * @throws ProtocolError when the text has no `VmRSS` line.
 */
export function parseResidentBytes(status: string): number {
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
  if (!match) {
    throw new runtime.ProtocolError(
      'The text of /proc/PID/status has no VmRSS line; check that the process is running.',
    );
  }
  return Number(match[1]) * 1_024;
}

/** Reads the resource usage of a running process from /proc. */
export function readProcessUsage(processId: number): ProcessUsage {
  const read = (file: string) =>
    fs.readFileSync(`/proc/${processId}/${file}`, 'utf8');
  return {
    cpuSeconds: parseCpuSeconds(read('stat')),
    residentBytes: parseResidentBytes(read('status')),
  };
}
