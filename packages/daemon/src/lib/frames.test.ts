import * as fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { encodeFrame, FrameError, FrameReader, maxFrameBytes, protocolVersion } from "./frames.js";
import type { Frame } from "./frames.js";

const request: Frame = {
    version: protocolVersion,
    kind: "request",
    sequence: 7,
    from: "entry-1~x",
    method: "m",
    body: { list: [1, "two", new Uint8Array([3])] },
};
const withLength = (length: number, body: Uint8Array): Buffer => {
    const head = Buffer.alloc(4);
    head.writeUInt32BE(length);
    return Buffer.concat([head, body]);
};
const encodeUnchecked = (value: unknown): Buffer => encodeFrame(value as Frame);

const badFrames: readonly (readonly [name: string, bytes: Buffer])[] = [
    ["zero length", withLength(0, Buffer.alloc(0))],
    ["declared length above the limit", withLength(maxFrameBytes + 1, Buffer.alloc(0))],
    ["maximum declared length", withLength(0xFFFF_FFFF, Buffer.alloc(0))],
    ["not CBOR", withLength(3, Buffer.from([0xFF, 0xFF, 0xFF]))],
    ["truncated CBOR", withLength(2, encodeFrame(request).subarray(4, 6))],
    ["an array that declares 100 million elements", withLength(5, Buffer.from([0x9A, 0x06, 0, 0, 0]))],
    ["a map that declares 16 million entries", withLength(5, Buffer.from([0xBA, 0x01, 0, 0, 0]))],
    ["another version", encodeUnchecked({ ...request, version: protocolVersion + 1 })],
    ["no version", encodeUnchecked({ ...request, version: undefined })],
    ["unknown kind", encodeUnchecked({ ...request, kind: "command" })],
    ["negative sequence", encodeUnchecked({ ...request, sequence: -1 })],
    ["unknown field", encodeUnchecked({ ...request, extra: 1 })],
    ["reply without a sequence", encodeUnchecked({ version: protocolVersion, kind: "reply", sequence: 0, body: 1 })],
    ["not an object", encodeUnchecked(5)],
];

// Guards against accepting frames from another release or from something that is not a peer.
test("invalid frames are rejected", () => {
    for (const [name, bytes] of badFrames) {
        const reader = new FrameReader();
        assert.throws(() => reader.push(bytes), (error: unknown) => error instanceof FrameError, name);
    }
});

// Guards against sending a message that the receiver would reject.
test("oversize messages are not encoded", () => {
    const body = "x".repeat(maxFrameBytes);
    assert.throws(() => encodeFrame({ ...request, body }), (error: unknown) => error instanceof FrameError);
});

// Guards against lost or merged frames when TCP segments the stream.
test("frames are reassembled from chunks of any size", () => {
    const frames: Frame[] = [1, 2, 3].map(sequence => ({ ...request, sequence }));
    const bytes = Buffer.concat(frames.map(encodeFrame));
    for (const chunkBytes of [1, 2, 3, 5, 16, 61, bytes.length]) {
        const reader = new FrameReader();
        const read: Frame[] = [];
        for (let offset = 0; offset < bytes.length; offset += chunkBytes) {
            read.push(...reader.push(bytes.subarray(offset, offset + chunkBytes)));
        }
        assert.equal(read.map(frame => frame.kind === "request" && frame.sequence), [1, 2, 3]);
        assert.equal(Buffer.from((read[0] as { body: { list: [1, 2, Uint8Array]; }; }).body.list[2]), Buffer.from([3]));
    }
});

const isFrameOrError = (pieces: readonly Uint8Array[]): boolean => {
    const reader = new FrameReader();
    try {
        pieces.forEach(piece => reader.push(Buffer.from(piece)));
        return true;
    }
    catch (error) {
        return error instanceof FrameError;
    }
};

// Guards against network input that causes an error other than FrameError.
test("random bytes yield frames or FrameError", () => {
    const bytes = fc.uint8Array({ maxLength: 200 });
    const declared = bytes.map(body => withLength(body.length, body));
    const changed = fc.tuple(fc.nat(1_000), fc.nat(255)).map(([offset, value]) => {
        const copy = Buffer.from(encodeFrame(request));
        copy[offset % copy.length] = value;
        return copy;
    });
    const pieces = fc.array(fc.oneof(bytes, declared, changed), { maxLength: 5 });
    fc.assert(fc.property(pieces, isFrameOrError), { seed: 20_261_204, numRuns: 5_000 });
});

test.run();
