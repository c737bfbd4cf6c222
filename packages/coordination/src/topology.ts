import type * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';

/** Greatest number of hosts in a cell (design section 4.7). */
export const MAXIMUM_CELL_HOSTS = 33;

/** Hash ranges into which the idempotency keys of a cell are divided. */
export const KEY_SHARDS_PER_CELL = 64;

/** One cell of a region. */
export interface CellPlace {
  readonly region: string;
  readonly index: number;
  /** Number of cells of the region. */
  readonly count: number;
}

/**
 * The name of a cell. It contains the number of cells, so that members which
 * disagree about that number never count each other's answers.
 */
export function cellName(place: CellPlace): string {
  return `${place.region}/${place.index}of${place.count}`;
}

/** The cell of a host among `count` cells of its region. */
export function cellOf(hostId: string, count: number): number {
  return Math.floor(runtime.unitHash(`cell|${hostId}`) * count);
}

/**
 * The hosts of a cell. When more than MAXIMUM_CELL_HOSTS hash to it, they are
 * taken from the availability zones in turn.
 */
export function hostsOfCell(
  hosts: readonly declaration.HostEntry[],
  place: CellPlace,
): readonly declaration.HostEntry[] {
  const candidates = hosts.filter(
    host =>
      host.region === place.region &&
      cellOf(host.hostId, place.count) === place.index,
  );
  if (candidates.length <= MAXIMUM_CELL_HOSTS) return candidates;
  const zones = new Map<string, declaration.HostEntry[]>();
  for (const host of runtime.rendezvousOrder(
    cellName(place),
    candidates,
    candidate => candidate.hostId,
  )) {
    const zone = zones.get(host.availabilityZone);
    if (zone) zone.push(host);
    else zones.set(host.availabilityZone, [host]);
  }
  const order = [...zones.keys()].sort().map(name => zones.get(name) ?? []);
  const chosen: declaration.HostEntry[] = [];
  for (let turn = 0; chosen.length < MAXIMUM_CELL_HOSTS; turn++) {
    for (const zone of order) {
      const host = zone[turn];
      if (host && chosen.length < MAXIMUM_CELL_HOSTS) chosen.push(host);
    }
  }
  return chosen;
}

interface CellsOfDocument {
  readonly byRegion: ReadonlyMap<string, readonly CellPlace[]>;
  readonly all: readonly CellPlace[];
}

/** Documents are immutable, so the cells of each are listed once. */
const cellsOfDocuments = new WeakMap<
  declaration.PublishedDocument,
  CellsOfDocument
>();

function cellsOf(document: declaration.PublishedDocument): CellsOfDocument {
  let cells = cellsOfDocuments.get(document);
  if (!cells) {
    const byRegion = new Map<string, readonly CellPlace[]>();
    for (const region of document.regions) {
      byRegion.set(
        region.name,
        Array.from({length: region.cells}, (_, index) => ({
          region: region.name,
          index,
          count: region.cells,
        })),
      );
    }
    cells = {byRegion, all: [...byRegion.values()].flat()};
    cellsOfDocuments.set(document, cells);
  }
  return cells;
}

/** The candidate with the highest random weight for the key. */
function firstCell(key: string, cells: readonly CellPlace[]): CellPlace | null {
  let first: CellPlace | null = null;
  let highest = -1;
  for (const place of cells) {
    const weight = runtime.unitHash(`${cellName(place)}|${key}`);
    if (weight <= highest) continue;
    highest = weight;
    first = place;
  }
  return first;
}

/** The cell that owns an organisation's bucket in a region. */
export function cellOfOrganisation(
  document: declaration.PublishedDocument,
  regionName: string,
  organisation: string,
): CellPlace | null {
  return firstCell(
    organisation,
    cellsOf(document).byRegion.get(regionName) ?? [],
  );
}

/**
 * The cell that owns an idempotency key. It is chosen among the cells of all
 * regions: a repeat that arrives in another region must reach the same owner,
 * or the request could run twice (I7).
 */
export function cellOfKey(
  document: declaration.PublishedDocument,
  organisation: string,
  idempotencyKey: string,
): CellPlace | null {
  return firstCell(`${organisation}|${idempotencyKey}`, cellsOf(document).all);
}

/** The shard of an organisation's bucket. */
export function bucketShard(organisation: string): string {
  return `bucket|${organisation}`;
}

/** The shard of an idempotency key: one of the cell's hash ranges. */
export function keyShard(organisation: string, idempotencyKey: string): string {
  const position = runtime.unitHash(`shard|${organisation}|${idempotencyKey}`);
  return `key|${Math.floor(position * KEY_SHARDS_PER_CELL)}`;
}

/** Every key shard of a cell. */
export function keyShards(): string[] {
  return Array.from(
    {length: KEY_SHARDS_PER_CELL},
    (_, index) => `key|${index}`,
  );
}
