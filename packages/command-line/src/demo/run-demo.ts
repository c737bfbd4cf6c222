import * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as deployments from './deployments.js';
import * as fleets from './fleet.js';
import * as processSet from './process-set.js';
import * as scenarios from './scenario.js';

export interface DemoOptions {
  readonly deployment: string;
  readonly seed: number;
  /** Replaces the deployment's normal arrival rate. */
  readonly requestsPerSecond?: number;
  readonly progress: (message: string) => void;
}

/**
 * Runs a deployment as processes on loopback through its scenario.
 * Throws ConfigurationError for an unknown deployment or declaration.
 */
export async function runDemo(
  options: DemoOptions,
): Promise<scenarios.DemoReport> {
  const declared = deployments.DEPLOYMENTS[options.deployment];
  if (!declared) {
    throw new runtime.ConfigurationError(
      `No deployment "${options.deployment}"; use one of ` +
        Object.keys(deployments.DEPLOYMENTS).join(', '),
    );
  }
  const deployment: deployments.DemoDeployment = {
    ...declared,
    requestsPerSecond: options.requestsPerSecond ?? declared.requestsPerSecond,
  };
  const clock = new runtime.SystemClock();
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'camphorwharf-demo-'));
  const processes = new processSet.ProcessSet(clock, folder);
  try {
    const document = readDocument(deployment.name);
    const fleet = new fleets.DemoFleet(
      deployment,
      folder,
      processes,
      clock,
      options.seed,
    );
    await fleet.start(options.progress);
    await fleet.publishDocument(document);
    options.progress('waiting until every daemon is ready');
    await fleet.awaitReady();
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
      fs.rmSync(folder, {recursive: true, force: true});
    }
  }
}

/** Compiles the example declaration of a deployment. */
export function readDocument(name: string): declaration.PublishedDocument {
  const file = url.fileURLToPath(
    new URL(`../../../../examples/${name}/declaration.toml`, import.meta.url),
  );
  const parsed = declaration.parseDeclaration(
    fs.readFileSync(file, 'utf8'),
    file,
  );
  if (!parsed.ok) {
    throw new runtime.ConfigurationError(
      parsed.problems.map(declaration.formatProblem).join('\n'),
    );
  }
  return declaration.compile(parsed.declaration, 1);
}
