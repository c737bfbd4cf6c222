import * as errors from '../command-error.js';
import * as exitCodes from '../exit-code.js';

/** Valid range of a numeric option, inclusive. */
export interface NumberRange {
  readonly minimum: number;
  readonly maximum: number;
  readonly integer?: boolean;
}

/**
 * Parses and validates the value of a numeric option.
 *
 * @throws CommandError with the usage exit code when the value is invalid.
 */
export function parseNumber(
  option: string,
  text: string,
  {minimum, maximum, integer = false}: NumberRange,
): number {
  const value = text.trim() === '' ? NaN : Number(text);
  const valid = value >= minimum && value <= maximum;
  if (valid && (!integer || Number.isInteger(value))) return value;
  throw errors.commandError(
    exitCodes.ExitCode.usage,
    `${option} ${text}: use a ${integer ? 'whole ' : ''}number from ${minimum} to ${maximum}`,
  );
}

export const SEED_RANGE: NumberRange = {
  minimum: 0,
  maximum: 1_000_000,
  integer: true,
};
