import * as zod from 'zod';

const countSchema = zod.int().min(0);

const zoneReportSchema = zod.object({
  era: countSchema,
  zones: zod.array(
    zod.object({
      zone: zod.string(),
      status: zod.string(),
      /** Of the evacuation; null for a zone in service. */
      era: countSchema.nullable(),
      revision: countSchema.nullable(),
      source: zod.string().nullable(),
      listed: countSchema,
      usable: countSchema,
      cold: countSchema,
    }),
  ),
});

/** The availability zones that a daemon knows. */
export type ZoneReport = Readonly<zod.output<typeof zoneReportSchema>>;

/** Returns null when the text is not a report of the zones. */
export function parseZoneReport(text: string): ZoneReport | null {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    return null;
  }
  return zoneReportSchema.safeParse(raw).data ?? null;
}
