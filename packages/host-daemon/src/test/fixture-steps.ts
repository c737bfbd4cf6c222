import * as fixtures from './fleet-fixture.js';

/** Waits for an event of another task; the limit only ends a failed test. */
export async function until(condition: () => boolean): Promise<void> {
  for (let turn = 0; turn < 1_000 && !condition(); turn++) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  if (!condition()) throw new Error('The condition did not come true.');
}

/** A fleet that knows one configuration and lists all of its hosts. */
export async function fleet(
  count: number,
  route: Parameters<fixtures.FleetFixture['publish']>[1] = {},
): Promise<fixtures.FleetFixture> {
  const fixture = await fixtures.FleetFixture.start(count);
  fixture.publish(1, route);
  fixture.list();
  return fixture;
}
