import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as stateReports from '../state-reports.js';
import * as sampleConfiguration from './sample-configuration.js';

interface Step {
  readonly unrecognisedKind?: string;
  readonly rejected?: true;
}

/** Guards against a fleet that serves nothing, or less, without a signal. */
const CASES: Readonly<
  Record<string, readonly [readonly Step[], string, string]>
> = {
  'a known kind': [[{}], 'configuration_rejected 0', 'info'],
  'an unknown kind': [
    [{unrecognisedKind: 'sometimes'}],
    'configuration_unrecognised_routes 1',
    'info,warn',
  ],
  'a configuration that cannot be decoded': [
    [{rejected: true}],
    'configuration_rejected 1',
    'error',
  ],
  'a valid one after it': [
    [{rejected: true}, {}],
    'configuration_rejected 0',
    'error,info',
  ],
};
for (const [name, [steps, metric, levels]] of Object.entries(CASES)) {
  test(`reports on the configuration: ${name}`, async t => {
    const metrics = new runtime.Metrics();
    const logged: string[] = [];
    const reports = new stateReports.StateReports({
      metrics,
      logger: {
        info: () => void logged.push('info'),
        warn: () => void logged.push('warn'),
        error: () => void logged.push('error'),
      },
    });
    for (const {rejected, unrecognisedKind = null} of steps) {
      if (rejected) reports.rejectedConfiguration(new Error('odd'));
      else {
        const configuration = sampleConfiguration.fleetConfiguration(1, {
          unrecognisedKind,
        });
        reports.inForce(configuration, 0, 'platform');
      }
    }
    t.true((await metrics.exposition()).includes(metric));
    t.is(logged.join(), levels);
  });
}
