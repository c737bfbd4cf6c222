import * as runtime from '@camphorwharf/runtime';
import test from 'ava';
import * as cbor from 'cbor-x/encode';
import * as fc from 'fast-check';
import * as protocol from '../index.js';
import * as arbitraries from './frame-arbitraries.js';

const SEED = 20_261_204;

/** Decodes all complete frames in `chunks`. */
function decodeAll(chunks: Iterable<Uint8Array>): protocol.DecodedFrame[] {
  const decoder = new protocol.FrameDecoder();
  const frames: protocol.DecodedFrame[] = [];
  for (const chunk of chunks) {
    decoder.feed(chunk);
    for (let frame = decoder.read(); frame; frame = decoder.read()) {
      frames.push(frame);
    }
  }
  return frames;
}

/** Converts chunks to arrays, since decoded byte strings are Buffer views. */
function withPlainChunks(frames: readonly protocol.DecodedFrame[]): unknown[] {
  return frames.map(frame =>
    'chunk' in frame ? {...frame, chunk: [...frame.chunk]} : frame,
  );
}

function framed(body: Uint8Array, length = body.length): Buffer {
  const bytes = Buffer.alloc(4 + body.length);
  bytes.writeUInt32BE(length, 0);
  bytes.set(body, 4);
  return bytes;
}

function* splitIntoChunks(bytes: Uint8Array, sizes: readonly number[]) {
  let position = 0;
  for (let index = 0; position < bytes.length; index++) {
    const size = sizes[index % sizes.length];
    yield bytes.subarray(position, position + size);
    position += size;
  }
}

test('frames are decoded unchanged from any split into chunks', t => {
  fc.assert(
    fc.property(
      fc.array(arbitraries.frame, {minLength: 1, maxLength: 5}),
      fc.array(fc.integer({min: 1, max: 70}), {minLength: 1, maxLength: 5}),
      (frames, sizes) => {
        const bytes = Buffer.concat(frames.map(protocol.encodeFrame));
        const decoded = decodeAll(splitIntoChunks(bytes, sizes));
        t.deepEqual(withPlainChunks(decoded), withPlainChunks(frames));
      },
    ),
    {seed: SEED, numRuns: 600},
  );
});

test('random bytes yield frames or a ProtocolError, never another error', t => {
  fc.assert(
    fc.property(
      fc.oneof(
        fc.uint8Array({maxLength: 200}),
        fc.uint8Array({minLength: 1, maxLength: 200}).map(body => framed(body)),
      ),
      bytes => {
        try {
          decodeAll([bytes]);
        } catch (error) {
          t.true(error instanceof runtime.ProtocolError, String(error));
        }
      },
    ),
    {seed: SEED, numRuns: 5_000},
  );
  t.pass();
});

test('a changed byte yields a valid frame or a ProtocolError', t => {
  fc.assert(
    fc.property(
      arbitraries.frame,
      fc.nat(),
      fc.integer({min: 1, max: 255}),
      (frame, at, change) => {
        const bytes = protocol.encodeFrame(frame);
        const position = 4 + (at % (bytes.length - 4));
        bytes[position] ^= change;
        try {
          const [decoded] = decodeAll([bytes]);
          // A frame that passes validation must be encodable again.
          if (decoded && decoded.kind !== 'unsupportedRequest') {
            t.is(decodeAll([protocol.encodeFrame(decoded)]).length, 1);
          }
        } catch (error) {
          t.true(error instanceof runtime.ProtocolError, String(error));
        }
      },
    ),
    {seed: SEED, numRuns: 3_000},
  );
  t.pass();
});

test('a truncated frame is never delivered', t => {
  fc.assert(
    fc.property(arbitraries.frame, fc.nat(), (frame, cut) => {
      const bytes = protocol.encodeFrame(frame);
      t.deepEqual(decodeAll([bytes.subarray(0, cut % bytes.length)]), []);
    }),
    {seed: SEED, numRuns: 300},
  );
});

const cancel = {kind: 'cancel', call: 1};
const call = {
  kind: 'call',
  call: 1,
  attempt: 1,
  service: 's',
  method: 'GET',
  path: '/',
  headers: [],
  contentLength: null,
  hasBody: false,
  context: {
    requestId: 'r',
    organisation: null,
    importance: 2,
    rank: 0.5,
    remainingMs: 1,
    retries: 0,
    depth: 1,
    idempotent: true,
    idempotencyKey: null,
  },
  permission: {heartbeatNumber: 0, elapsedMs: 0, remainingMs: 1},
};
const nestedArrays = (depth: number) =>
  Buffer.concat([Buffer.alloc(depth, 0x81), Buffer.from([0])]);
const malformed: ReadonlyArray<{name: string; bytes: Uint8Array}> = [
  {name: 'a length of 0', bytes: Buffer.alloc(4)},
  {name: 'a length above 2 MB', bytes: Buffer.from([0, 0x20, 0, 1])},
  {name: 'a length of 4 GB', bytes: Buffer.alloc(4, 0xff)},
  {name: 'an HTTP request', bytes: Buffer.from('GET / HTTP/1.1\r\n\r\n')},
  {name: 'bytes after the value', bytes: framed(Buffer.from([0xa0, 0]))},
  {
    name: 'a truncated value',
    bytes: framed(Buffer.from([0x82, 0])),
  },
  {
    name: 'a byte string beyond the frame',
    bytes: framed(Buffer.from([0x58, 99])),
  },
  {
    name: 'an array longer than the frame',
    bytes: framed(Buffer.from([0x9a, 0xff, 0xff, 0xff, 0xff])),
  },
  {name: 'an indefinite array', bytes: framed(Buffer.from([0x9f, 0xff]))},
  {
    name: 'a 64-bit integer',
    bytes: framed(Buffer.from([0x1b, 0, 0, 0, 0, 0, 0, 0, 1])),
  },
  {name: 'nesting of 100,000 levels', bytes: framed(nestedArrays(100_000))},
  {
    name: 'a million items',
    bytes: framed(
      Buffer.concat([
        Buffer.from([0x9a, 0, 15, 66, 64]),
        Buffer.alloc(1_000_000),
      ]),
    ),
  },
  {
    name: 'a regular expression tag',
    bytes: framed(new cbor.Encoder().encode({...cancel, call: /a/})),
  },
  {
    name: 'a date tag',
    bytes: framed(new cbor.Encoder().encode({...cancel, call: new Date(0)})),
  },
  {
    name: 'a cyclic reference',
    bytes: framed(Buffer.from('d81c81d81d00', 'hex')),
  },
  ...(
    [
      ['a number', 7],
      ['an array', [cancel]],
      ['no kind', {call: 1}],
      ['a kind that is a map', {kind: {}}],
      ['a missing field', {kind: 'cancel'}],
      ['a negative integer', {kind: 'cancel', call: -1}],
      ['a fraction instead of an integer', {kind: 'cancel', call: 1.5}],
      ['a not-a-number', {kind: 'cancel', call: NaN}],
      ['a string instead of an integer', {kind: 'cancel', call: '1'}],
      ['a string instead of bytes', {kind: 'answerBody', call: 1, chunk: 'a'}],
      [
        'an array of numbers instead of bytes',
        {kind: 'answerBody', call: 1, chunk: [1]},
      ],
      ['a header that is not a pair', {...call, headers: [['a']]}],
      ['a header value that is a number', {...call, headers: [['a', 1]]}],
      ['a rank of 1', {...call, context: {...call.context, rank: 1}}],
      [
        'an importance of 4',
        {...call, context: {...call.context, importance: 4}},
      ],
      ['a context that is an array', {...call, context: []}],
      [
        'an infinite permission',
        {
          ...call,
          permission: {...call.permission, remainingMs: Infinity},
        },
      ],
      [
        'a refusal reason that is a prototype name',
        {
          kind: 'refusal',
          call: 1,
          reason: 'constructor',
          final: false,
          unspentRetries: 0,
          threshold: null,
        },
      ],
      [
        'a status below 200',
        {
          kind: 'answerHead',
          call: 1,
          attempt: 1,
          status: 100,
          headers: [],
          contentLength: null,
        },
      ],
      ['a request without a body', {kind: 'request', request: 1}],
      [
        'a request with an invalid field',
        {kind: 'request', request: 1, body: {kind: 'leaving', hostId: 1}},
      ],
      [
        'a verdict that is a prototype name',
        {
          kind: 'reply',
          request: 1,
          body: {kind: 'keyAnswer', verdict: {kind: 'toString'}},
        },
      ],
    ] as const
  ).map(([name, value]) => ({
    name,
    bytes: framed(new cbor.Encoder({useRecords: false}).encode(value)),
  })),
];
for (const {name, bytes} of malformed) {
  test(`${name} is a ProtocolError`, t => {
    t.throws(() => decodeAll([bytes]), {instanceOf: runtime.ProtocolError});
  });
}

const encoder = new cbor.Encoder({useRecords: false});
const unknownKinds = ['grantAll', '__proto__', 'constructor', 'hasOwnProperty'];
for (const kind of unknownKinds) {
  test(`the unknown kind ${kind} is skipped and counted`, t => {
    const decoder = new protocol.FrameDecoder();
    decoder.feed(framed(encoder.encode({kind, call: 1})));
    decoder.feed(
      framed(encoder.encode({kind: 'reply', request: 1, body: {kind}})),
    );
    decoder.feed(protocol.encodeFrame({kind: 'cancel', call: 3}));
    t.deepEqual(decoder.read(), {kind: 'cancel', call: 3});
    t.is(decoder.unknownFrames, 2);
    decoder.feed(
      framed(encoder.encode({kind: 'request', request: 5, body: {kind}})),
    );
    t.deepEqual(decoder.read(), {kind: 'unsupportedRequest', request: 5});
  });
}

test('a field named __proto__ does not change the prototype', t => {
  // The map {"kind": "cancel", "call": 1, "__proto__": {"polluted": true}}.
  const inner = encoder.encode({polluted: true});
  const body = Buffer.concat([
    Buffer.from([0xa3]),
    encoder.encode('kind'),
    encoder.encode('cancel'),
    encoder.encode('call'),
    Buffer.from([1]),
    encoder.encode('__proto__'),
    inner,
  ]);
  const [frame] = decodeAll([framed(body)]);
  t.is(Object.getPrototypeOf(frame), Object.prototype);
  t.false('polluted' in frame);
});

test('a frame above 2 MB is not encoded', t => {
  const document = 'x'.repeat(protocol.MAXIMUM_FRAME_BYTES);
  t.throws(
    () =>
      protocol.encodeFrame({
        kind: 'request',
        request: 1,
        body: {kind: 'configurationPush', revision: 1, document},
      }),
    {instanceOf: runtime.ProtocolError},
  );
});

const versionCases = [
  {local: [1, 1], remote: [1, 1], expected: 1},
  {local: [1, 3], remote: [2, 5], expected: 3},
  {local: [2, 5], remote: [1, 3], expected: 3},
  {local: [1, 1], remote: [2, 3], expected: null},
  {local: [4, 5], remote: [2, 3], expected: null},
  {local: [1, 3], remote: [3, 2], expected: null},
] as const;
for (const {local, remote, expected} of versionCases) {
  test(`versions ${local} and ${remote} negotiate ${expected}`, t => {
    const range = ([versionMinimum, versionMaximum]: readonly number[]) => ({
      versionMinimum,
      versionMaximum,
    });
    t.is(protocol.negotiateVersion(range(local), range(remote)), expected);
  });
}
