import * as errors from '../command-error.js';
import * as exitCodes from '../exit-code.js';

/** Range of a numeric option. */
export interface NumberRange {
  readonly minimum: number;
  readonly maximum: number;
  readonly whole?: boolean;
}

/**
 * Reads the value of a numeric option.
 *
 * @throws CommandError with the usage exit code when it is out of range.
 */
export function parseNumber(
  option: string,
  text: string,
  {minimum, maximum, whole = false}: NumberRange,
): number {
  const value = text.trim() === '' ? NaN : Number(text);
  const valid = value >= minimum && value <= maximum;
  if (valid && (!whole || Number.isInteger(value))) return value;
  throw errors.commandError(
    exitCodes.ExitCode.usage,
    `${option} ${text}: use a ${whole ? 'whole ' : ''}number from ${minimum} to ${maximum}`,
  );
}

export const SEED_RANGE: NumberRange = {
  minimum: 0,
  maximum: 1_000_000,
  whole: true,
};
