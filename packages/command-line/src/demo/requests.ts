import type * as declaration from '@camphorwharf/declaration';
import type * as standIns from '@camphorwharf/stand-ins';

/** Load of one organisation with its demonstration key. */
export function organisationLoad(
  organisation: declaration.Organisation,
  weight: number,
): standIns.LoadOrganisation {
  return {
    name: organisation.name,
    key: `${organisation.name}-demo-key`,
    weight,
  };
}

/** Number of exchanges with this kind of outcome. */
export function countKind(
  outcomes: Readonly<Record<string, number>>,
  kind: string,
): number {
  return Object.entries(outcomes)
    .filter(([name]) => name.startsWith(`${kind}/`))
    .reduce((sum, [, count]) => sum + count, 0);
}

/** Sends one request and returns the status of its answer. */
export async function getStatus(
  target: string,
  key: string | null,
): Promise<number> {
  const answer = await fetch(target, {
    headers: key === null ? {} : {authorization: `Bearer ${key}`},
  });
  await answer.arrayBuffer();
  return answer.status;
}
