import * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import * as fs from 'node:fs';
import * as url from 'node:url';
import type * as deployments from '../demo/deployments.js';

/** Reads the example declaration of a demo deployment as revision 1. */
export function readExample(name: string): declaration.PublishedDocument {
  const file = url.fileURLToPath(
    new URL(`../../../../examples/${name}/declaration.toml`, import.meta.url),
  );
  return compileText(fs.readFileSync(file, 'utf8'), file, 1);
}

/** A deployment of one service, without load. */
export function singleService(targets: number): deployments.DemoDeployment {
  return {
    name: `single-service-${targets}`,
    region: 'region-1',
    availabilityZones: ['zone-a', 'zone-b', 'zone-c'],
    services: [
      {
        name: 'catalogue',
        targets,
        slots: 100,
        connections: 1_000,
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

/** The document of `singleService`; each revision has another rate. */
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
