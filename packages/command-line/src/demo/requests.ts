import type * as declaration from '@camphorwharf/declaration';
import type * as standIns from '@camphorwharf/stand-ins';

/** Returns the load generator's entry for an organisation and its demo key. */
export function toLoadOrganisation(
  organisation: declaration.Organisation,
  weight: number,
): standIns.LoadOrganisation {
  return {
    name: organisation.name,
    key: `${organisation.name}-demo-key`,
    weight,
  };
}

/** Returns the number of requests whose outcome has this kind. */
export function countOutcomesOfKind(
  outcomes: Readonly<Record<string, number>>,
  kind: string,
): number {
  return Object.entries(outcomes)
    .filter(([name]) => name.startsWith(`${kind}/`))
    .reduce((sum, [, count]) => sum + count, 0);
}

/** Sends a GET request and returns the status code of the response. */
export async function getStatusCode(
  target: string,
  key: string | null,
): Promise<number> {
  const response = await fetch(target, {
    headers: key === null ? {} : {authorization: `Bearer ${key}`},
  });
  await response.arrayBuffer();
  return response.status;
}
