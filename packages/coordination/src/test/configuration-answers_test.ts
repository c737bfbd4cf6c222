import * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as configurationAnswers from '../configuration-answers.js';
import * as coordination from '../index.js';
import * as fakeFleet from './fake-fleet.js';

const BASE = JSON.parse(
  fakeFleet.documentText(1),
) as declaration.PublishedDocument;

/** A document of several hundred services, changed at random per revision. */
function largeText(revision: number, random: runtime.RandomSource): string {
  const services = Array.from({length: 400}, (_, index) => ({
    name: `service-${index}`,
    labels: {tier: index % 40 === revision ? 'new' : 'base'},
  })).filter(() => random.next() > 0.01);
  return declaration.serializeDocument({
    ...BASE,
    revision,
    services: [...BASE.services, ...services].sort((left, right) =>
      left.name < right.name ? -1 : 1,
    ),
  });
}

function createSide() {
  const metrics = new runtime.Metrics();
  const common = {logger: runtime.silentLogger, metrics};
  const store = new coordination.ConfigurationStore({
    ...common,
    parse: text => declaration.parsePublishedDocument(text),
    createIndex: () => null,
  });
  const directory = new coordination.HostDirectory(common);
  const clock = new runtime.ManualClock();
  const answers = new configurationAnswers.ConfigurationAnswers({
    store,
    directory,
    clock,
    metrics,
  });
  return {store, directory, answers};
}

function listOf(revision: number, random: runtime.RandomSource) {
  const hosts = Array.from({length: 100}, (_, index) =>
    fakeFleet.hostEntry(index),
  ).filter(() => random.next() > 0.02);
  return {revision, hosts};
}

for (const seed of [555_111, 555_222]) {
  // Guards against a change that is sent in full, at 224 KB for a document of
  // 0.9 MB, and against a delta that restores something else.
  test(`changes travel as deltas and arrive exactly (seed ${seed})`, async t => {
    const random = new runtime.SeededRandom(seed);
    const [from, to] = [createSide(), createSide()];
    for (let revision = 1; revision <= 6; revision++) {
      from.store.offer(revision, largeText(revision, random), 0);
      from.directory.offerList(listOf(revision, random), 0);
      const answer = await from.answers.createAnswer(to.answers.createDigest());
      t.is(answer.compressedDocument === undefined, revision > 1);
      t.is(answer.documentDelta !== undefined, revision > 1);
      t.is(answer.hostListDelta !== undefined, revision > 1);
      await to.answers.takeAnswer(answer);
      t.is(to.store.current?.text, from.store.current?.text);
      const hosts = (side: typeof to) =>
        side.directory.hostList.hosts.map(({hostId}) => hostId).sort();
      t.deepEqual(hosts(to), hosts(from));
    }
  });
}

// Guards against a daemon that never catches up when a delta does not fit.
test('a delta that does not fit is replaced by everything in full', async t => {
  const random = new runtime.SeededRandom(555_333);
  const [from, to] = [createSide(), createSide()];
  const first = listOf(1, random);
  from.directory.offerList(first, 0);
  to.directory.offerList({revision: 1, hosts: first.hosts.slice(5)}, 0);
  // This text is valid, but not in the canonical form that deltas restore.
  const loose = JSON.stringify(JSON.parse(largeText(2, random)), null, 1);
  const firstText = largeText(1, random);
  for (const side of [from, to]) side.store.offer(1, firstText, 0);
  from.store.offer(2, loose, 0);
  from.directory.offerList(listOf(2, random), 0);
  for (let round = 0; round < 2; round++) {
    const digest = to.answers.createDigest();
    await to.answers.takeAnswer(await from.answers.createAnswer(digest));
    t.is(to.store.revision, round + 1);
  }
  t.is(to.store.current?.text, loose);
  t.deepEqual(to.directory.hostList, from.directory.hostList);
});
