import * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import * as fs from 'node:fs';
import * as url from 'node:url';
import type * as deployments from '../demo/deployments.js';

/** Compiles the example declaration of a demo deployment as revision 1. */
export function compileExample(name: string): declaration.PublishedDocument {
  const file = url.fileURLToPath(
    new URL(`../../../../examples/${name}/declaration.toml`, import.meta.url),
  );
  return compileText(fs.readFileSync(file, 'utf8'), file, 1);
}

/** Returns a deployment with a single service and no load. */
export function singleServiceDeployment(
  hostCount: number,
): deployments.DemoDeployment {
  return {
    name: `single-service-${hostCount}`,
    region: 'region-1',
    availabilityZones: ['zone-a', 'zone-b', 'zone-c'],
    services: [
      {
        name: 'catalogue',
        hostCount,
        slots: 100,
        connectionLimit: 1_000,
        serviceTimeMs: 1,
        downstream: [],
      },
    ],
    requests: [],
    requestsPerSecond: 1,
    slowService: 'catalogue',
    slowFactor: 1,
  };
}

/**
 * Returns the document for `singleServiceDeployment`. The rate depends on the
 * revision, because daemons keep their document when the content is the same.
 */
export function singleServiceDocument(
  revision: number,
): declaration.PublishedDocument {
  const text = `
    [[regions]]
    name = "region-1"
    weight = 1
    cells = 1
    availabilityZones = ["zone-a", "zone-b", "zone-c"]

    [[services]]
    name = "catalogue"

    [[routes]]
    name = "catalogue-parts"
    service = "catalogue"
    methods = ["GET"]
    pathPrefix = "/parts"
    idempotent = true
    importance = 2

    [[organisations]]
    name = "organisation-1"
    ratePerSecond = ${1_000 + (revision % 1_000)}
    burst = 2000
    keyHashes = ["${runtime.sha256Hex('organisation-1-demo-key')}"]
  `;
  return compileText(text, 'generated.toml', revision);
}

function compileText(
  text: string,
  file: string,
  revision: number,
): declaration.PublishedDocument {
  const parsed = declaration.parseDeclaration(text, file);
  if (!parsed.ok) {
    throw new runtime.ConfigurationError(
      parsed.problems.map(declaration.formatProblem).join('\n'),
    );
  }
  return declaration.compile(parsed.declaration, revision);
}
