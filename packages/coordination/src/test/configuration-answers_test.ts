import * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as configurationAnswers from '../configuration-answers.js';
import * as coordination from '../index.js';
import * as fakeFleet from './fake-fleet.js';

const BASE = JSON.parse(
  fakeFleet.documentText(1),
) as declaration.PublishedDocument;

/** A document of about 400 services that changes randomly per revision. */
function largeDocumentText(
  revision: number,
  random: runtime.RandomSource,
): string {
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

function createPeer() {
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

function createHostList(revision: number, random: runtime.RandomSource) {
  const hosts = Array.from({length: 100}, (_, index) =>
    fakeFleet.hostEntry(index),
  ).filter(() => random.next() > 0.02);
  return {revision, hosts};
}

for (const seed of [555_111, 555_222]) {
  // Guards against sending a change in full, which takes 224 KB for a document
  // of 0.9 MB, and against a delta that restores different content.
  test(`changes are sent as deltas and restored exactly (seed ${seed})`, async t => {
    const random = new runtime.SeededRandom(seed);
    const [sender, receiver] = [createPeer(), createPeer()];
    for (let revision = 1; revision <= 6; revision++) {
      sender.store.offer(revision, largeDocumentText(revision, random), 0);
      sender.directory.offerList(createHostList(revision, random), 0);
      const answer = await sender.answers.createAnswer(
        receiver.answers.createDigest(),
      );
      t.is(answer.compressedDocument === undefined, revision > 1);
      t.is(answer.documentDelta !== undefined, revision > 1);
      t.is(answer.hostListDelta !== undefined, revision > 1);
      await receiver.answers.applyAnswer(answer);
      t.is(receiver.store.current?.text, sender.store.current?.text);
      const hosts = (side: typeof receiver) =>
        side.directory.hostList.hosts.map(({hostId}) => hostId).sort();
      t.deepEqual(hosts(receiver), hosts(sender));
    }
  });
}

// Guards against a daemon that never catches up after an inapplicable delta.
test('the full state is requested after a delta that cannot be applied', async t => {
  const random = new runtime.SeededRandom(555_333);
  const [sender, receiver] = [createPeer(), createPeer()];
  const first = createHostList(1, random);
  sender.directory.offerList(first, 0);
  receiver.directory.offerList({revision: 1, hosts: first.hosts.slice(5)}, 0);
  // Valid, but not in the canonical form that deltas restore.
  const nonCanonicalText = JSON.stringify(
    JSON.parse(largeDocumentText(2, random)),
    null,
    1,
  );
  const firstText = largeDocumentText(1, random);
  for (const side of [sender, receiver]) side.store.offer(1, firstText, 0);
  sender.store.offer(2, nonCanonicalText, 0);
  sender.directory.offerList(createHostList(2, random), 0);
  for (let round = 0; round < 2; round++) {
    const digest = receiver.answers.createDigest();
    await receiver.answers.applyAnswer(
      await sender.answers.createAnswer(digest),
    );
    t.is(receiver.store.revision, round + 1);
  }
  t.is(receiver.store.current?.text, nonCanonicalText);
  t.deepEqual(receiver.directory.hostList, sender.directory.hostList);
});
