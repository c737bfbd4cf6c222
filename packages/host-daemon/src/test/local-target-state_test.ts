import * as routing from '@camphorwharf/routing';
import test from 'ava';
import * as localTargetState from '../local-target-state.js';
import * as servers from './sample-servers.js';

const DRAIN_MS = 2_000;

function createState(directory: routing.BackendServerDirectory) {
  const state = new localTargetState.LocalTargetState(
    'parts',
    '10.0.0.1',
    80,
    DRAIN_MS,
  );
  state.update(directory, 0);
  return state;
}

/** Guards against calls to an instance that has been replaced. */
const DENIALS: ReadonlyArray<
  readonly [string, number | null, number | null, boolean]
> = [
  ['its entry is unchanged', 1_000, 1_000, false],
  ['it has restarted under the same name', 1_000, 9_000, true],
  ['no start time is reported', null, null, false],
];
for (const [name, deniedMs, laterMs, expected] of DENIALS) {
  test(`an instance that the backend server denied to be: ${name}`, t => {
    const directory = new routing.BackendServerDirectory();
    const put = (startedAtMs: number | null) =>
      directory.put(servers.backendServer('one', {startedAtMs}), 0);
    put(deniedMs);
    const state = createState(directory);
    t.true(state.mayServe('one'));
    state.recordMisdirected('one');
    t.false(state.mayServe('one'));
    put(laterMs);
    state.update(directory, 100);
    t.is(state.mayServe('one'), expected);
  });
}

test('the drain time continues when a draining server is no longer listed', t => {
  // Guards against sending work to a draining server after its drain time (rule
  // DRAIN).
  const directory = new routing.BackendServerDirectory();
  directory.put(servers.backendServer('one'), 0);
  const state = createState(directory);
  t.false(state.isLeaving);
  directory.put(servers.backendServer('one', {phase: 'draining'}), 1_000);
  state.update(directory, 1_000);
  t.true(state.isLeaving);
  t.true(state.acceptsWork(1_700));
  directory.remove('one');
  state.update(directory, 1_700);
  t.true(state.isLeaving);
  t.false(state.acceptsWork(1_900));
});
