import * as clipanion from 'clipanion';

import * as errors from '../command-error.js';
import * as daemonClient from '../daemon-client.js';
import * as exitCodes from '../exit-code.js';
import * as operatorCommand from '../operator-command.js';
import * as output from '../output.js';
import type * as requestPreview from '../request-preview.js';

/** A healthy daemon responds within milliseconds. */
const TIMEOUT_MS = 3_000;

export class WhereCommand extends operatorCommand.OperatorCommand {
  static override paths = [['where']];
  static override usage = clipanion.Command.Usage({
    description: 'Show where a daemon would send a request now, and why.',
    details: `
      Asks the metrics address of the daemon at which the request would enter,
      on the users' platform. No request is sent, and nothing changes in the
      daemon. Shows for each service of the route whether the request would be
      admitted, and for each of its backend servers the expected cost, the share
      of the requests that it would get, or why it gets none. Without
      --organisation the request has no key.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [
      [
        'Show where a request goes',
        '$0 where 10.0.0.5:7001 --route extrato --organisation caixa',
      ],
    ],
  });

  address = clipanion.Option.String({name: 'HOST:PORT'});
  route = clipanion.Option.String('--route', {
    required: true,
    description: 'Name of a route of the configuration.',
  });
  organisation = clipanion.Option.String('--organisation', {
    description: 'Name of the organisation whose key the request has.',
  });

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    const address = daemonClient.validateAddress(this.address);
    const result = await daemonClient.fetchPreview(
      address,
      this.route,
      this.organisation ?? null,
      TIMEOUT_MS,
    );
    if (!result.ok) {
      throw errors.commandError(
        exitCodes.ExitCode.unreachable,
        `${address}: ${result.message}. Check that it is the metrics port of a daemon on the users' platform.`,
      );
    }
    const {preview} = result;
    switch (preview.kind) {
      case 'unknown': {
        const isRoute = preview.subject === 'route';
        const name = isRoute ? this.route : (this.organisation ?? '');
        throw errors.commandError(
          exitCodes.ExitCode.refused,
          `${address}: the configuration has no ${preview.subject} ${name}. ${describeKnown(preview.known)}`,
        );
      }
      case 'notReady':
        throw errors.commandError(
          exitCodes.ExitCode.unreachable,
          `${address}: the daemon knows no configuration yet and refuses all requests (documentMissing). Run the command again in some seconds.`,
        );
      case 'preview':
        this.print({ok: true, address, ...preview}, formatPreview(preview));
        return exitCodes.ExitCode.ok;
    }
  }
}

function describeKnown(names: readonly string[]): string {
  if (names.length === 0) return 'It has none.';
  return `Use a name of the configuration in force, for example ${names.join(', ')}.`;
}

function formatPreview(preview: requestPreview.RequestPreview): string {
  const {configuration, destinations, nested, organisation, refusal, route} =
    preview;
  const {omittedDestinations} = preview;
  const caller = organisation ?? (nested ? 'a backend server' : 'no key');
  const lines = [
    `route ${route}, ${caller}, configuration ${configuration}`,
    ...(refusal === null ? [] : [`refused: ${refusal}`]),
    `limit: ${describeLimit(preview)}`,
    ...describeMemory(preview),
  ];
  const sections = destinations.map(
    destination =>
      `${describeDestination(destination, refusal !== null)}${formatTargets(destination)}`,
  );
  const head = lines.map(line => `${output.replaceControlCharacters(line)}\n`);
  if (omittedDestinations > 0) {
    sections.push(`${omittedDestinations} more services are not shown\n`);
  }
  return [head.join(''), ...sections].join('\n');
}

function describeLimit({limit}: requestPreview.RequestPreview): string {
  if (!limit) return 'none';
  const {burst, grantedShare, isScarce, ratePerSecond, retryAfterMs, tokens} =
    limit;
  const state = `${tokens.toFixed(1)} of ${burst} tokens, ${ratePerSecond} per second`;
  if (grantedShare === 1) {
    return `${state}${isScarce ? ', scarce: only the share of this host' : ''}`;
  }
  return `${state}; grants ${percent(grantedShare)} now, next token in ${retryAfterMs.toFixed(0)} ms`;
}

function describeMemory({memory}: requestPreview.RequestPreview): string[] {
  if (!memory) return [];
  const {
    receivedBodyBytes,
    responseBytes,
    responseBytesWaiting,
    responseLimitBytes,
  } = memory;
  return [
    `memory: responses ${kilobytes(responseBytes)} of ${kilobytes(responseLimitBytes)}, ${kilobytes(responseBytesWaiting)} waiting; received bodies ${kilobytes(receivedBodyBytes)}`,
  ];
}

function describeDestination(
  destination: requestPreview.DestinationPreview,
  isRefused: boolean,
): string {
  const {admittedShare, isNext, refusal, service, share, shedding} =
    destination;
  const admitted = isRefused
    ? 'not admitted, see above'
    : `${percent(admittedShare)} admitted${refusal === null ? '' : ` (${refusal})`}`;
  const split = share === 1 ? '' : `, ${percent(share)} of the requests`;
  const lines = [
    `service ${service}${split}${isNext ? ', next' : ''}: ${admitted}`,
  ];
  if (shedding) {
    const {pressure, priority, saturatedService, source} = shedding;
    const cause = saturatedService === null ? '' : ` ${saturatedService}`;
    lines.push(
      `shed by ${source}${cause}: ${percent(shedding.share)} of priority ${priority}, pressure ${pressure.toFixed(2)}`,
    );
  }
  return lines
    .map(line => `${output.replaceControlCharacters(line)}\n`)
    .join('');
}

function formatTargets({
  omittedTargets,
  targets,
}: requestPreview.DestinationPreview): string {
  const table = output.formatTable([
    [
      'instance',
      'host',
      'zone',
      'gets',
      'cost ms',
      'wait',
      'run',
      'penalty',
      'calls',
      'slots',
      'sampled',
      'excluded',
    ],
    ...targets.map(({candidate, exclusion, host, instance, slots, zone}) => [
      instance,
      host,
      zone,
      ...(candidate
        ? [
            percent(candidate.chosenShare),
            candidate.costMs.toFixed(0),
            candidate.waitMs.toFixed(0),
            candidate.runMs.toFixed(0),
            candidate.penalty.toFixed(2),
            candidate.calls.toFixed(1),
          ]
        : [null, null, null, null, null, null]),
      slots,
      candidate && percent(candidate.sampledShare),
      exclusion,
    ]),
  ]);
  return omittedTargets === 0
    ? table
    : `${table}${omittedTargets} more backend servers are not shown\n`;
}

function percent(share: number): string {
  return `${(100 * share).toFixed(0)}%`;
}

function kilobytes(bytes: number): string {
  return `${Math.round(bytes / 1_024)} KiB`;
}
