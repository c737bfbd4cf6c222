import * as declaration from '@camphorwharf/declaration';
import * as clipanion from 'clipanion';

import * as errors from '../command-error.js';
import * as exitCodes from '../exit-code.js';
import * as operatorCommand from '../operator-command.js';
import * as output from '../output.js';
import * as sourceFiles from '../source-file.js';

export class ExplainCommand extends operatorCommand.OperatorCommand {
  static override paths = [['explain']];
  static override usage = clipanion.Command.Usage({
    description: 'Explain the route, policies and settings of a call.',
    details: `
      Shows the route of the call, each policy with the evaluation of its
      selector, and the policy that decides each setting. The path is the part
      after the service name.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [
      [
        'Explain a booking',
        '$0 explain examples/teranga/declaration.toml --service workshop --method POST --path /bookings --organisation saloum-mills',
      ],
    ],
  });

  file = clipanion.Option.String();
  service = clipanion.Option.String('--service', {
    required: true,
    description: 'The first segment of the path at a daemon.',
  });
  method = clipanion.Option.String('--method', {
    required: true,
    description: 'HTTP method in upper case.',
  });
  callPath = clipanion.Option.String('--path', {
    required: true,
    description: 'The part after the service name, starting with "/".',
  });
  organisation = clipanion.Option.String('--organisation', {
    description: 'The caller; leave it out for a call without a key.',
  });

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    const source = sourceFiles.readSourceFile(this.file);
    const document =
      source.kind === 'document'
        ? source.content
        : // The settings of a call do not depend on the revision.
          declaration.compile(source.content, 1);
    const explanation = declaration.explainCall(document, {
      service: this.service,
      method: this.method,
      path: this.callPath,
      organisation: this.organisation ?? null,
    });
    if (!explanation.ok) {
      throw errors.commandError(
        exitCodes.ExitCode.refused,
        `${this.file}: ${explanation.message}.`,
      );
    }
    this.print(explanation, formatExplanation(explanation));
    return exitCodes.ExitCode.ok;
  }
}

function formatExplanation(
  explanation: declaration.CallExplanation & {ok: true},
): string {
  const {route, organisation, policies, settings} = explanation;
  const call = output.formatTable([
    ['route', route.name],
    ['open', route.open],
    ['idempotent', route.idempotent],
    ['organisation', organisation],
    [
      'labels',
      Object.entries(explanation.labels)
        .map(([name, value]) => `${name}=${value}`)
        .join(' '),
    ],
  ]);
  const policyRows = policies.flatMap(policy => [
    [policy.name, policy.precedence, policy.selects ? 'selects' : 'skips', ''],
    ...evaluationRows(policy.evaluation, 1),
  ]);
  const policyTable = output.formatTable([
    ['policy', 'precedence', 'verdict', 'found'],
    ...policyRows,
  ]);
  const settingTable = output.formatTable([
    ['setting', 'value', 'from'],
    ...settings.map(({setting, value, source}) => [
      setting,
      value,
      source.kind === 'policy'
        ? `policy ${source.policy}`
        : source.kind === 'route'
          ? `route ${source.route}`
          : 'default',
    ]),
  ]);
  return `${call}\n${policyTable}\n${settingTable}`;
}

function evaluationRows(
  evaluation: declaration.SelectorEvaluation,
  depth: number,
): Array<Array<string | null>> {
  const {selector, labelValue, matches, operands} = evaluation;
  const found = 'label' in selector ? (labelValue ?? 'absent') : '';
  const text =
    'label' in selector ? declaration.formatSelector(selector) : selector.kind;
  return [
    [`${'  '.repeat(depth)}${text}`, '', String(matches), found],
    ...operands.flatMap(operand => evaluationRows(operand, depth + 1)),
  ];
}
