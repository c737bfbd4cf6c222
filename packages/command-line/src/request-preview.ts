import * as zod from 'zod';

const shareSchema = zod.number().min(0).max(1);

const targetSchema = zod.object({
  instance: zod.string(),
  host: zod.string(),
  zone: zod.string(),
  slots: zod.number(),
  isListedCold: zod.boolean(),
  exclusion: zod.string().nullable(),
  candidate: zod
    .object({
      costMs: zod.number(),
      waitMs: zod.number(),
      runMs: zod.number(),
      penalty: zod.number(),
      calls: zod.number(),
      sampledShare: shareSchema,
      chosenShare: shareSchema,
    })
    .nullable(),
});

const destinationSchema = zod.object({
  service: zod.string(),
  share: shareSchema,
  isNext: zod.boolean(),
  admittedShare: shareSchema,
  refusal: zod.string().nullable(),
  shedding: zod
    .object({
      source: zod.string(),
      saturatedService: zod.string().nullable(),
      pressure: zod.number(),
      share: shareSchema,
      priority: zod.number(),
    })
    .nullable(),
  targets: zod.array(targetSchema),
  omittedTargets: zod.number(),
});

const previewSchema = zod.object({
  kind: zod.literal('preview'),
  route: zod.string(),
  organisation: zod.string().nullable(),
  nested: zod.boolean(),
  configuration: zod.number(),
  limit: zod
    .object({
      ratePerSecond: zod.number(),
      burst: zod.number(),
      tokens: zod.number(),
      isScarce: zod.boolean(),
      grantedShare: shareSchema,
      retryAfterMs: zod.number(),
    })
    .nullable(),
  memory: zod
    .object({
      responseBytes: zod.number(),
      responseLimitBytes: zod.number(),
      responseBytesWaiting: zod.number(),
      receivedBodyBytes: zod.number(),
    })
    .nullable(),
  refusal: zod.string().nullable(),
  destinations: zod.array(destinationSchema),
  /** Daemons of earlier releases do not count them. */
  omittedDestinations: zod.number().default(0),
});

const resultSchema = zod.discriminatedUnion('kind', [
  previewSchema,
  zod.object({
    kind: zod.literal('unknown'),
    subject: zod.enum(['route', 'organisation']),
    known: zod.array(zod.string()),
  }),
  zod.object({kind: zod.literal('notReady')}),
]);

/** What would become of a request, as its daemon says. */
export type RequestPreview = Readonly<zod.output<typeof previewSchema>>;
export type DestinationPreview = RequestPreview['destinations'][number];
export type PreviewResult = Readonly<zod.output<typeof resultSchema>>;

/** Returns null when the text is not the result of a preview. */
export function parsePreview(text: string): PreviewResult | null {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch {
    return null;
  }
  return resultSchema.safeParse(raw).data ?? null;
}
