import * as runtime from '@camphorwharf/runtime';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as documents from '../measure/documents.js';
import * as deployments from './deployments.js';
import * as fleets from './fleet.js';
import * as processSet from './process-set.js';
import type * as reports from './report.js';
import * as scenarios from './scenario.js';

export interface DemoOptions {
  readonly deployment: string;
  readonly seed: number;
  /** Overrides the normal arrival rate of the deployment. */
  readonly requestsPerSecond?: number;
  readonly progress: (message: string) => void;
}

/**
 * Starts a deployment as processes on loopback and runs the demo scenario.
 *
 * @throws ConfigurationError for an unknown deployment or invalid declaration.
 */
export async function runDemo(
  options: DemoOptions,
): Promise<reports.DemoReport> {
  const baseDeployment = deployments.DEPLOYMENTS[options.deployment];
  if (!baseDeployment) {
    throw new runtime.ConfigurationError(
      `Unknown deployment "${options.deployment}"; use one of ` +
        Object.keys(deployments.DEPLOYMENTS).join(', '),
    );
  }
  const deployment: deployments.DemoDeployment = {
    ...baseDeployment,
    requestsPerSecond:
      options.requestsPerSecond ?? baseDeployment.requestsPerSecond,
  };
  const clock = new runtime.SystemClock();
  const directory = fs.mkdtempSync(
    path.join(os.tmpdir(), 'camphorwharf-demo-'),
  );
  const processes = new processSet.ProcessSet(clock, directory);
  try {
    const document = documents.compileExample(deployment.name);
    const fleet = new fleets.DemoFleet(
      deployment,
      directory,
      processes,
      clock,
      options.seed,
    );
    await fleet.start(options.progress);
    await fleet.publishDocument(document);
    options.progress('waiting until every daemon is ready');
    await fleet.waitUntilReady();
    const scenario = new scenarios.DemoScenario(
      deployment,
      fleet,
      processes,
      document,
      clock,
      options.seed,
      options.progress,
    );
    return await scenario.run();
  } finally {
    await processes.stopAll();
    if (!process.env['CAMPHORWHARF_DEMO_KEEP_LOGS']) {
      fs.rmSync(directory, {recursive: true, force: true});
    }
  }
}
