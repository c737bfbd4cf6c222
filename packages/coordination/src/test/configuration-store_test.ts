import * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as coordination from '../index.js';
import * as fakeFleet from './fake-fleet.js';

function createStore(): coordination.ConfigurationStore<null> {
  return new coordination.ConfigurationStore({
    parse: text => declaration.parsePublishedDocument(text),
    createIndex: () => null,
    logger: runtime.silentLogger,
    metrics: new runtime.Metrics(),
  });
}

const initialText = fakeFleet.documentText(3);
const conflictingText = fakeFleet.documentText(3, {ratePerSecond: 7});

// Guards against reverting or replacing an adopted document.
const offerCases = [
  {
    name: 'a newer document',
    revision: 4,
    text: fakeFleet.documentText(4),
    result: 'adopted',
    after: 4,
  },
  {
    name: 'the same document',
    revision: 3,
    text: initialText,
    result: 'same',
    after: 3,
  },
  {
    name: 'a different document of the same revision',
    revision: 3,
    text: conflictingText,
    result: 'conflict',
    after: 3,
  },
  {
    name: 'an older document',
    revision: 2,
    text: fakeFleet.documentText(2),
    result: 'older',
    after: 3,
  },
  {
    name: 'an invalid document',
    revision: 9,
    text: '{}',
    result: 'invalid',
    after: 3,
  },
  {
    name: 'a document that contains another revision',
    revision: 9,
    text: fakeFleet.documentText(8),
    result: 'invalid',
    after: 3,
  },
] as const;
for (const {name, revision, text, result, after} of offerCases) {
  test(`a store at revision 3 answers ${result} to ${name}`, t => {
    const store = createStore();
    t.is(store.offer(3, initialText, 0), 'adopted');
    t.is(store.offer(revision, text, 1), result);
    t.is(
      store.offer(revision, text, 2),
      result === 'adopted' ? 'same' : result,
    );
    t.is(store.revision, after);
    if (after === 3) t.is(store.current?.text, initialText);
  });
}

for (const seed of [101, 202]) {
  test(`random offers never lower the revision (seed ${seed})`, t => {
    const random = new runtime.SeededRandom(seed);
    const store = createStore();
    const adopted: number[] = [];
    store.onAdopted(({revision}) => adopted.push(revision));
    let highest = 0;
    for (let step = 0; step < 200; step++) {
      const revision =
        1 + Math.floor(step / 5) + runtime.randomInteger(random, 10);
      const valid = random.next() < 0.8;
      store.offer(
        revision,
        valid ? fakeFleet.documentText(revision) : '{',
        step,
      );
      if (valid) highest = Math.max(highest, revision);
      t.is(store.revision, highest);
    }
    t.deepEqual(
      adopted,
      [...new Set(adopted)].sort((a, b) => a - b),
    );
    t.true(adopted.length > 10);
  });
}
