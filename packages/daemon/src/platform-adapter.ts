import type * as coordination from '@camphorwharf/coordination';
import * as declaration from '@camphorwharf/declaration';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import * as zod from 'zod';

const port = zod.int().min(1).max(65_535);

const hostEntrySchema = zod.object({
  hostId: zod.string().min(1).max(128),
  address: zod.union([zod.ipv4(), zod.ipv6()]),
  peerPort: port,
  callerPort: port,
  service: zod.string().min(1).max(128),
  region: zod.string().min(1).max(128),
  availabilityZone: zod.string().min(1).max(128),
  state: zod.enum([declaration.HostState.live, declaration.HostState.leaving]),
});

/** The target fleet size plus headroom for hosts that are being replaced. */
const MAXIMUM_HOSTS = 20_000;

/** Reads from the platform and validates the published host list. */
export class PlatformAdapter implements coordination.PlatformReader {
  constructor(private readonly platform: transport.Platform) {}

  async readDocument(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<{readonly revision: number; readonly document: string} | null> {
    const published = await this.platform.readDocument(
      afterRevision,
      waitMs,
      signal,
    );
    if (published === 'unchanged') return null;
    return {revision: published.revision, document: published.text};
  }

  /** Throws ProtocolError if any entry of the list is invalid. */
  async readHosts(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<declaration.HostList | null> {
    const published = await this.platform.readHosts(
      afterRevision,
      waitMs,
      signal,
    );
    if (published === 'unchanged') return null;
    return {revision: published.revision, hosts: parseHosts(published.text)};
  }
}

function parseHosts(text: string): readonly declaration.HostEntry[] {
  const parsed = zod
    .array(hostEntrySchema)
    .max(MAXIMUM_HOSTS)
    .safeParse(JSON.parse(text));
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    throw new runtime.ProtocolError(
      `The published host list is not valid at ${issue.path.join('.')}: ` +
        `${issue.message}; correct what publishes it.`,
    );
  }
  return parsed.data;
}
