import * as fixtures from './fleet-fixture.js';

/** Waits for an event of another task; the limit only ends a failed test. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 1_000 && !condition(); attempt++) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  if (!condition()) throw new Error('The condition did not come true.');
}

/** A fleet that knows one configuration and lists all of its hosts. */
export async function startFleet(
  count: number,
  route: Parameters<fixtures.FleetFixture['publishConfiguration']>[1] = {},
): Promise<fixtures.FleetFixture> {
  const fixture = await fixtures.FleetFixture.start(count);
  fixture.publishConfiguration(1, route);
  fixture.listServers();
  return fixture;
}
