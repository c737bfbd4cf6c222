import type * as targetCall from './target-call.js';

type Body = targetCall.TargetCall['body'];

/**
 * Tells whether the source of a streamed request body failed, so that the
 * backend server is not blamed for an exchange that ended because of it.
 */
export class ObservedBody {
  readonly body: Body;
  private failed = false;

  constructor(body: Body) {
    this.body =
      body === null || body instanceof Uint8Array ? body : this.observe(body);
  }

  get hasFailed(): boolean {
    return this.failed;
  }

  private async *observe(
    source: AsyncIterable<Uint8Array>,
  ): AsyncGenerator<Uint8Array, void, void> {
    try {
      yield* source;
    } catch (error) {
      this.failed = true;
      throw error;
    }
  }
}
