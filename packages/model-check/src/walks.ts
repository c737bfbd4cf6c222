import * as runtime from '@camphorwharf/runtime';
import * as actions from './actions.js';
import type * as settings from './settings.js';
import * as world from './world.js';

export interface WalkOptions {
  readonly factory: settings.Factory;
  readonly seed: number;
  readonly walks: number;
  readonly steps: number;
}

export interface WalkResult {
  readonly walks: number;
  readonly steps: number;
  /** Steps at whose end each shard had an owner. */
  readonly ownedShare: number;
  readonly violation: string | null;
  readonly failedWalk: number | null;
  readonly trace: readonly string[];
}

/** Runs random schedules of faults and calls, each from a cold start. */
export function walk(options: WalkOptions): WalkResult {
  let steps = 0;
  let owned = 0;
  for (let number = 0; number < options.walks; number++) {
    const failed = replay(options, number, state => {
      steps++;
      if (state.isOwned()) owned++;
    });
    if (failed) {
      return {
        walks: number + 1,
        steps,
        ownedShare: owned / steps,
        violation: failed.properties.violations[0],
        failedWalk: number,
        trace: failed.trace,
      };
    }
  }
  return {
    walks: options.walks,
    steps,
    ownedShare: owned / steps,
    violation: null,
    failedWalk: null,
    trace: [],
  };
}

/** Runs one walk; returns its last state when it violates an invariant. */
export function replay(
  options: WalkOptions,
  number: number,
  afterStep: (state: world.World) => void,
): world.World | null {
  const random = new runtime.SeededRandom(options.seed * 10_007 + number);
  const state = startOf(options.factory, random);
  const disturbed = 0.02 + 0.3 * random.next() ** 2;
  for (let step = 0; step < options.steps; step++) {
    const isDisturbed = random.next() < disturbed;
    const action: actions.Action = isDisturbed
      ? choose(state, random)
      : {kind: 'none'};
    state.step(action, random);
    afterStep(state);
    if (state.properties.violations.length > 0) return state;
  }
  return null;
}

function startOf(
  factory: settings.Factory,
  random: runtime.RandomSource,
): world.World {
  const count = 2 + runtime.randomInteger(random, 4);
  const hosts = ['a', 'b', 'c', 'd', 'e'].slice(0, count);
  return new world.World({hosts, factory, clocks: random});
}

function choose(
  state: world.World,
  random: runtime.RandomSource,
): actions.Action {
  const hosts = state.hosts;
  const pick = <T>(items: readonly T[]): T =>
    items[runtime.randomInteger(random, items.length)];
  const host = pick(hosts);
  const draw = random.next();
  if (draw < 0.3) {
    return {kind: 'call', host, key: Math.floor(state.nowMs / 4_000)};
  }
  if (draw < 0.33) return {kind: 'publish'};
  if (draw < 0.4) return {kind: 'demand', host, on: random.next() < 0.4};
  if (draw < 0.5) {
    const group = hosts.filter(() => random.next() < 0.5);
    const durationMs = 500 * (1 + runtime.randomInteger(random, 20));
    return {kind: 'partition', group, durationMs};
  }
  // A host that is gone may return under its id, or a new one joins.
  const spare = pick(['a', 'b', 'c', 'd', 'e', 'f', 'g']);
  return pick(actions.faults(hosts, spare));
}
