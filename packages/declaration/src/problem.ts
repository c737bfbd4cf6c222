/** One error in a declaration or a published document. */
export interface Problem {
  readonly file: string;
  /** Line of the value, starting at 1; null if unknown. */
  readonly line: number | null;
  /** Path of the value, for example `routes[2].importance`. */
  readonly path: string;
  /** The invalid value, truncated; null if it is missing. */
  readonly value: string | null;
  readonly message: string;
  /** How to fix the problem. */
  readonly remedy: string;
}

export type PathSegment = string | number;

/** A problem without its file and line. */
export interface Finding {
  readonly path: readonly PathSegment[];
  readonly value: unknown;
  readonly message: string;
  readonly remedy: string;
}

/** Maximum quoted length of a value, or of a key in a path. */
const MAXIMUM_QUOTED_LENGTH = 80;

/** Formats a path, for example `routes[2].labels.tier`. */
export function formatPath(path: readonly PathSegment[]): string {
  let text = '';
  for (const segment of path) {
    if (typeof segment === 'number') text += `[${segment}]`;
    else {
      const key = segment.slice(0, MAXIMUM_QUOTED_LENGTH);
      text += text === '' ? key : `.${key}`;
    }
  }
  return text;
}

/** Formats a value on one line, truncated; null if it is undefined. */
export function formatValue(value: unknown): string | null {
  if (value === undefined) return null;
  let text: string;
  if (typeof value === 'string') {
    // Truncate first: a string can be as long as the document.
    text = JSON.stringify(value.slice(0, MAXIMUM_QUOTED_LENGTH + 1));
  } else if (Array.isArray(value)) {
    text = `a list of ${value.length}`;
  } else if (value instanceof Date) {
    text = 'a date';
  } else if (typeof value === 'object' && value !== null) {
    text = 'a table';
  } else {
    text = String(value);
  }
  return text.length > MAXIMUM_QUOTED_LENGTH
    ? `${text.slice(0, MAXIMUM_QUOTED_LENGTH)}…`
    : text;
}

/** Adds the file and line to a finding and formats its path and value. */
export function toProblem(
  finding: Finding,
  file: string,
  line: number | null,
): Problem {
  return {
    file,
    line,
    path: formatPath(finding.path),
    value: formatValue(finding.value),
    message: finding.message,
    remedy: finding.remedy,
  };
}

/** Formats a problem on one line as `file:line: message`, for editors. */
export function formatProblem(problem: Problem): string {
  const position =
    problem.line === null ? problem.file : `${problem.file}:${problem.line}`;
  const path = problem.path === '' ? '' : `${problem.path}: `;
  const value = problem.value === null ? '' : ` (found ${problem.value})`;
  return `${position}: ${path}${problem.message}${value}. ${problem.remedy}.`;
}
