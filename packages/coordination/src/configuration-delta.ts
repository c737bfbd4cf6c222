import * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import * as keyedDelta from './keyed-delta.js';

const SECTIONS = [
  'regions',
  'services',
  'routes',
  'organisations',
  'policies',
] as const;

interface NamedItem {
  readonly name: string;
}

/** Changes from one published document to a later revision. */
export interface DocumentDelta {
  readonly baseDigest: string;
  readonly revision: number;
  readonly sections: Readonly<
    Record<(typeof SECTIONS)[number], keyedDelta.KeyedDelta<NamedItem>>
  >;
}

/** Changes from one host list to a later revision. */
export interface HostListDelta {
  readonly baseDigest: string;
  readonly revision: number;
  readonly hosts: keyedDelta.KeyedDelta<declaration.HostEntry>;
}

const nameOf = ({name}: NamedItem) => name;
const hostIdOf = ({hostId}: declaration.HostEntry) => hostId;

export function createDocumentDelta(
  base: declaration.PublishedDocument,
  baseDigest: string,
  current: declaration.PublishedDocument,
): DocumentDelta {
  const sections = Object.fromEntries(
    SECTIONS.map(section => [
      section,
      keyedDelta.createDelta<NamedItem>(
        base[section],
        current[section],
        nameOf,
      ),
    ]),
  ) as DocumentDelta['sections'];
  return {baseDigest, revision: current.revision, sections};
}

/**
 * Returns the text of the later document in canonical form. The caller must
 * compare its digest with the published one, because a document published in a
 * non-canonical form cannot be restored.
 */
export function applyDocumentDelta(
  base: declaration.PublishedDocument,
  delta: DocumentDelta,
): string {
  const sections = Object.fromEntries(
    SECTIONS.map(section => [
      section,
      keyedDelta.applyDelta<NamedItem>(
        base[section],
        delta.sections[section],
        nameOf,
      ),
    ]),
  );
  return declaration.serializeDocument({
    ...base,
    ...sections,
    revision: delta.revision,
  });
}

export function createHostListDelta(
  base: declaration.HostList,
  current: declaration.HostList,
): HostListDelta {
  return {
    baseDigest: hostListDigest(base),
    revision: current.revision,
    hosts: keyedDelta.createDelta(base.hosts, current.hosts, hostIdOf),
  };
}

/** Returns null when the delta was created from a different base list. */
export function applyHostListDelta(
  base: declaration.HostList,
  delta: HostListDelta,
): declaration.HostList | null {
  if (hostListDigest(base) !== delta.baseDigest) return null;
  const hosts = keyedDelta.applyDelta(base.hosts, delta.hosts, hostIdOf);
  return {revision: delta.revision, hosts};
}

/** Digests by list. Lists are immutable, so each is hashed only once. */
const listDigests = new WeakMap<declaration.HostList, string>();

/** Hashes all entries independently of their order and field order. */
function hostListDigest(list: declaration.HostList): string {
  let digest = listDigests.get(list);
  if (digest === undefined) {
    const lines = list.hosts.map(host =>
      JSON.stringify([
        host.hostId,
        host.address,
        host.peerPort,
        host.callerPort,
        host.service,
        host.region,
        host.availabilityZone,
        host.state,
      ]),
    );
    digest = runtime.sha256Hex(lines.sort().join('\n'));
    listDigests.set(list, digest);
  }
  return digest;
}
