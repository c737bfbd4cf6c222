import * as declaration from '@camphorwharf/declaration';
import test from 'ava';
import * as deployments from '../demo/deployments.js';
import * as documents from '../measure/documents.js';

// Guards against demo calls without a route in the example declaration; a third
// of the calls of Sahab were once refused with routeUnknown.
for (const deployment of Object.values(deployments.DEPLOYMENTS)) {
  test(`each call of ${deployment.name} has a route`, t => {
    const document = documents.compileExample(deployment.name);
    const index = new declaration.DocumentIndex(document);
    const downstream = deployment.services.flatMap(
      service => service.downstream,
    );
    for (const call of [...deployment.requests, ...downstream]) {
      const route = index.matchRoute(call.service, call.method, call.path);
      t.truthy(route, `${call.method} /${call.service}${call.path}`);
    }
  });
}
