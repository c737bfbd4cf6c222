/** Exit codes of every command; scripts depend on them. */
export const ExitCode = {
  ok: 0,
  /** Invalid input, or a change or request that was refused. */
  refused: 1,
  /** Unknown command or option, or a malformed argument. */
  usage: 2,
  /** Daemons have different documents in force. */
  disagreement: 3,
  /** A daemon gave no usable answer. */
  unreachable: 4,
} as const;
export type ExitCodeValue = (typeof ExitCode)[keyof typeof ExitCode];

/** The exit codes as the `--help` texts list them. */
export const EXIT_CODE_HELP =
  'Exit codes: 0 ok; 1 invalid input or refused change; 2 usage; ' +
  '3 daemons disagree; 4 daemon unreachable.';
