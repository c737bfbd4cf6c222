import * as fixtures from './fleet-fixture.js';

/**
 * Waits for a condition set by another task; the limit only ends a failing
 * test.
 */
export async function waitUntil(condition: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 1_000 && !condition(); attempt++) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  if (!condition()) throw new Error('The condition was not met in time.');
}

/** A fleet with one configuration in which all hosts are listed. */
export async function startFleet(
  count: number,
  route: Parameters<fixtures.FleetFixture['publishConfiguration']>[1] = {},
  options: fixtures.FixtureOptions = {},
): Promise<fixtures.FleetFixture> {
  const fixture = await fixtures.FleetFixture.start(count, options);
  fixture.publishConfiguration(1, route);
  fixture.listServers();
  return fixture;
}
