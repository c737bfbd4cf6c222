/** One fault of a declaration or of a published document. */
export interface Problem {
  readonly file: string;
  /** Line of the value, counted from 1, or null when it is not known. */
  readonly line: number | null;
  /** Path of the value, for example `routes[2].importance`. */
  readonly path: string;
  /** The value found, shortened; null when it is missing. */
  readonly value: string | null;
  readonly message: string;
  /** What to change. */
  readonly remedy: string;
}

export type PathSegment = string | number;

/** A problem before its file and line are known. */
export interface Finding {
  readonly path: readonly PathSegment[];
  readonly value: unknown;
  readonly message: string;
  readonly remedy: string;
}

/** Longest part of a value, and of a key in a path, that a problem quotes. */
const MAXIMUM_VALUE_LENGTH = 80;

/** Writes a path as `routes[2].labels.tier`. */
export function formatPath(path: readonly PathSegment[]): string {
  let text = '';
  for (const segment of path) {
    if (typeof segment === 'number') text += `[${segment}]`;
    else {
      const key = segment.slice(0, MAXIMUM_VALUE_LENGTH);
      text += text === '' ? key : `.${key}`;
    }
  }
  return text;
}

/** Writes a value on one line, shortened; null when it is undefined. */
export function formatValue(value: unknown): string | null {
  if (value === undefined) return null;
  let text: string;
  if (typeof value === 'string') {
    // Cut first: a hostile string can be as long as the document.
    text = JSON.stringify(value.slice(0, MAXIMUM_VALUE_LENGTH + 1));
  } else if (Array.isArray(value)) {
    text = `a list of ${value.length}`;
  } else if (value instanceof Date) {
    text = 'a date';
  } else if (typeof value === 'object' && value !== null) {
    text = 'a table';
  } else {
    text = String(value);
  }
  return text.length > MAXIMUM_VALUE_LENGTH
    ? `${text.slice(0, MAXIMUM_VALUE_LENGTH)}…`
    : text;
}

/** Adds the file and the line to a finding. */
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

/** Writes a problem on one line, in the form that editors recognise. */
export function formatProblem(problem: Problem): string {
  const position =
    problem.line === null ? problem.file : `${problem.file}:${problem.line}`;
  const path = problem.path === '' ? '' : `${problem.path}: `;
  const value = problem.value === null ? '' : ` (found ${problem.value})`;
  return `${position}: ${path}${problem.message}${value}. ${problem.remedy}.`;
}
