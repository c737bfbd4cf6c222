import * as runtime from '@camphorwharf/runtime';
import * as actions from './actions.js';
import * as modelState from './model-state.js';
import type * as settings from './settings.js';

export interface WalkOptions {
  readonly factory: settings.ProductFactory;
  readonly seed: number;
  readonly walks: number;
  readonly steps: number;
}

export interface WalkResult {
  readonly walks: number;
  readonly steps: number;
  /** Share of the steps after which every shard had an owner. */
  readonly ownedShare: number;
  readonly violation: string | null;
  /** Number of the walk that violated an invariant. */
  readonly failedWalk: number | null;
  readonly trace: readonly string[];
}

/** Runs random walks over faults and calls, each from a cold start. */
export function runRandomWalks(options: WalkOptions): WalkResult {
  let steps = 0;
  let ownedSteps = 0;
  for (let walkNumber = 0; walkNumber < options.walks; walkNumber++) {
    const failedState = runWalk(options, walkNumber, state => {
      steps++;
      if (state.allShardsOwned()) ownedSteps++;
    });
    if (failedState) {
      return {
        walks: walkNumber + 1,
        steps,
        ownedShare: ownedSteps / steps,
        violation: failedState.invariants.violations[0],
        failedWalk: walkNumber,
        trace: failedState.trace,
      };
    }
  }
  return {
    walks: options.walks,
    steps,
    ownedShare: ownedSteps / steps,
    violation: null,
    failedWalk: null,
    trace: [],
  };
}

/** Runs one walk; returns its last state when it violates an invariant. */
export function runWalk(
  options: WalkOptions,
  walkNumber: number,
  onStep: (state: modelState.ModelState) => void,
): modelState.ModelState | null {
  const random = new runtime.SeededRandom(options.seed * 10_007 + walkNumber);
  const state = createInitialState(options.factory, random);
  const actionProbability = 0.02 + 0.3 * random.next() ** 2;
  for (let step = 0; step < options.steps; step++) {
    const hasAction = random.next() < actionProbability;
    const action: actions.Action = hasAction
      ? drawAction(state, random)
      : {kind: 'none'};
    state.step(action, random);
    onStep(state);
    if (state.invariants.violations.length > 0) return state;
  }
  return null;
}

function createInitialState(
  factory: settings.ProductFactory,
  random: runtime.RandomSource,
): modelState.ModelState {
  const count = 2 + runtime.randomInteger(random, 4);
  const hosts = ['a', 'b', 'c', 'd', 'e'].slice(0, count);
  return new modelState.ModelState({hosts, factory, clockRandom: random});
}

function drawAction(
  state: modelState.ModelState,
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
  // Either a removed host returns under its own id or a new host joins.
  const spare = pick(['a', 'b', 'c', 'd', 'e', 'f', 'g']);
  return pick(actions.faultActions(hosts, spare));
}
