import * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';

/** Default key of the test organisation. */
export const KEY = 'granted-key';

/** Compiles a declaration of a service with open, read and order routes. */
export function document(
  revision: number,
  key = KEY,
): declaration.PublishedDocument {
  const parsed = declaration.parseDeclaration(
    `
[[regions]]
name = "r"
weight = 1
cells = 1
availabilityZones = ["a"]

[[services]]
name = "parts"

[[routes]]
name = "public"
service = "parts"
pathPrefix = "/public"
open = true
idempotent = true
importance = 3

[[routes]]
name = "items"
service = "parts"
methods = ["GET"]
pathPrefix = "/items"
idempotent = true
importance = 2

[[routes]]
name = "orders"
service = "parts"
methods = ["POST"]
pathPrefix = "/orders"
idempotent = false
importance = 0

[[organisations]]
name = "shop"
ratePerSecond = 1000
burst = 1000
keyHashes = ["${runtime.sha256Hex(key)}"]
`,
    'fixture.toml',
  );
  if (!parsed.ok) {
    throw new Error(parsed.problems.map(declaration.formatProblem).join('\n'));
  }
  return declaration.compile(parsed.declaration, revision);
}

export function documentIndex(
  revision: number,
  key?: string,
): declaration.DocumentIndex {
  return new declaration.DocumentIndex(document(revision, key));
}
