import type * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';

/** Maximum number of hosts in a cell (design section 4.7). */
export const MAXIMUM_CELL_HOSTS = 33;

/** Number of hash ranges that partition the idempotency keys of a cell. */
export const KEY_SHARDS_PER_CELL = 64;

/** Identifies one cell of a region. */
export interface CellId {
  readonly region: string;
  readonly index: number;
  /** Number of cells in the region. */
  readonly count: number;
}

/**
 * Returns the name of a cell. It includes the number of cells, so that members
 * which disagree about that number never count each other's answers.
 */
export function cellName(cellId: CellId): string {
  return `${cellId.region}/${cellId.index}of${cellId.count}`;
}

/** Returns the index of a host's cell among `count` cells of its region. */
export function cellIndexOf(hostId: string, count: number): number {
  return Math.floor(runtime.hashToUnitInterval(`cell|${hostId}`) * count);
}

/**
 * Returns the hosts of a cell. If more than MAXIMUM_CELL_HOSTS hash to it, they
 * are selected round-robin over the availability zones.
 */
export function hostsOfCell(
  hosts: readonly declaration.HostEntry[],
  cellId: CellId,
): readonly declaration.HostEntry[] {
  const candidates = hosts.filter(
    host =>
      host.region === cellId.region &&
      cellIndexOf(host.hostId, cellId.count) === cellId.index,
  );
  if (candidates.length <= MAXIMUM_CELL_HOSTS) return candidates;
  const zones = new Map<string, declaration.HostEntry[]>();
  for (const host of runtime.rendezvousOrder(
    cellName(cellId),
    candidates,
    candidate => candidate.hostId,
  )) {
    const zone = zones.get(host.availabilityZone);
    if (zone) zone.push(host);
    else zones.set(host.availabilityZone, [host]);
  }
  const zoneHosts = [...zones.keys()].sort().map(name => zones.get(name) ?? []);
  const chosen: declaration.HostEntry[] = [];
  for (let round = 0; chosen.length < MAXIMUM_CELL_HOSTS; round++) {
    for (const zone of zoneHosts) {
      const host = zone[round];
      if (host && chosen.length < MAXIMUM_CELL_HOSTS) chosen.push(host);
    }
  }
  return chosen;
}

interface DocumentCells {
  readonly byRegion: ReadonlyMap<string, readonly CellId[]>;
  readonly all: readonly CellId[];
}

/** Cells by document. Documents are immutable, so each is processed once. */
const documentCells = new WeakMap<
  declaration.PublishedDocument,
  DocumentCells
>();

function cellsOfDocument(
  document: declaration.PublishedDocument,
): DocumentCells {
  let cells = documentCells.get(document);
  if (!cells) {
    const byRegion = new Map<string, readonly CellId[]>();
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
    documentCells.set(document, cells);
  }
  return cells;
}

/** Returns the cell with the highest rendezvous weight for the key. */
function highestWeightCell(
  key: string,
  cells: readonly CellId[],
): CellId | null {
  let best: CellId | null = null;
  let highestWeight = -1;
  for (const cellId of cells) {
    const weight = runtime.hashToUnitInterval(`${cellName(cellId)}|${key}`);
    if (weight <= highestWeight) continue;
    highestWeight = weight;
    best = cellId;
  }
  return best;
}

/** Returns the cell that owns an organisation's bucket in a region. */
export function cellOfOrganisation(
  document: declaration.PublishedDocument,
  regionName: string,
  organisation: string,
): CellId | null {
  return highestWeightCell(
    organisation,
    cellsOfDocument(document).byRegion.get(regionName) ?? [],
  );
}

/**
 * Returns the cell that owns an idempotency key. It is chosen among the cells
 * of all regions: a retry that arrives in another region must reach the same
 * owner, or the request could run twice (I7).
 */
export function cellOfKey(
  document: declaration.PublishedDocument,
  organisation: string,
  idempotencyKey: string,
): CellId | null {
  return highestWeightCell(
    `${organisation}|${idempotencyKey}`,
    cellsOfDocument(document).all,
  );
}

/** Returns the shard of an organisation's bucket. */
export function bucketShard(organisation: string): string {
  return `bucket|${organisation}`;
}

/** Returns the shard of an idempotency key: one of the cell's hash ranges. */
export function keyShard(organisation: string, idempotencyKey: string): string {
  const position = runtime.hashToUnitInterval(
    `shard|${organisation}|${idempotencyKey}`,
  );
  return `key|${Math.floor(position * KEY_SHARDS_PER_CELL)}`;
}

/** Returns all key shards of a cell. */
export function keyShards(): string[] {
  return Array.from(
    {length: KEY_SHARDS_PER_CELL},
    (_, index) => `key|${index}`,
  );
}
