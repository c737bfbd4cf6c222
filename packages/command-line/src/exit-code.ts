/** Exit codes of all commands; scripts depend on the values. */
export const ExitCode = {
  ok: 0,
  /** Invalid input, or a refused change or request. */
  refused: 1,
  /** Unknown command or option, or a malformed argument. */
  usage: 2,
  /** The daemons have different documents in force. */
  disagreement: 3,
  /** A daemon did not return a usable response. */
  unreachable: 4,
} as const;
export type ExitCodeValue = (typeof ExitCode)[keyof typeof ExitCode];

/** Exit code summary that every `--help` text includes. */
export const EXIT_CODE_HELP =
  'Exit codes: 0 ok; 1 invalid input or refused change; 2 usage; ' +
  '3 daemons disagree; 4 daemon unreachable.';
