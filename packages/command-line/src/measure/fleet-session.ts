import * as runtime from '@camphorwharf/runtime';
import type * as declaration from '@camphorwharf/declaration';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import type * as deployments from '../demo/deployments.js';
import * as fleets from '../demo/fleet.js';
import * as processSet from '../demo/process-set.js';
import * as processUsage from './process-usage.js';

export interface FleetSessionOptions extends fleets.DemoFleetOptions {
  readonly deployment: deployments.DemoDeployment;
  readonly document: declaration.PublishedDocument;
  readonly seed: number;
  readonly clock: runtime.Clock;
  readonly progress: (message: string) => void;
}

const STOP_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;

/**
 * Calls `callback` with a fleet whose daemons are ready. Kills every process of
 * the fleet afterwards, also after a failure or a signal.
 */
export async function withFleet<T>(
  options: FleetSessionOptions,
  callback: (fleet: fleets.DemoFleet) => Promise<T>,
): Promise<T> {
  const {deployment, clock} = options;
  const directory = fs.mkdtempSync(path.join(os.tmpdir(), 'camphorwharf-'));
  const processes = new processSet.ProcessSet(clock, directory);
  const cleanUp = async () => {
    // The second call kills a process that was spawned during the first.
    await processes.stopAll();
    await processes.stopAll();
    if (!process.env['CAMPHORWHARF_DEMO_KEEP_LOGS']) {
      fs.rmSync(directory, {recursive: true, force: true});
    }
  };
  const onSignal = () => void cleanUp().finally(() => process.exit(130));
  for (const signal of STOP_SIGNALS) process.once(signal, onSignal);
  try {
    const fleet = new fleets.DemoFleet(
      deployment,
      directory,
      processes,
      clock,
      options.seed,
      options,
    );
    await fleet.start(options.progress);
    await fleet.publishDocument(options.document);
    options.progress('waiting until every daemon is ready');
    await fleet.waitUntilReady();
    return await callback(fleet);
  } finally {
    await cleanUp();
    for (const signal of STOP_SIGNALS) process.off(signal, onSignal);
  }
}

/** Returns the resource usage of each daemon, in the order of the hosts. */
export function daemonUsages(
  fleet: fleets.DemoFleet,
): processUsage.ProcessUsage[] {
  return fleet.hosts.map(({daemon, entry}) => {
    const processId = daemon?.child.pid;
    if (processId === undefined) {
      throw new runtime.ConfigurationError(
        `The daemon of ${entry.hostId} is not running; start the fleet first.`,
      );
    }
    return processUsage.readProcessUsage(processId);
  });
}
