/** Frames between instances: a 4-byte length and a CBOR body with the protocol version. */
import { SniperoadError } from "@sniperoad/core";
import { Encoder } from "cbor-x";
import * as z from "zod";

/** Maximum size of a frame body. */
export const maxFrameBytes = 1_048_576;
/** Version of the frames and messages; frames of any other version are rejected. */
export const protocolVersion = 1;

/** A frame that violates the protocol. The connection is closed. */
export const FrameError = SniperoadError.subclass("FrameError");

const frameSchema = z.discriminatedUnion("kind", [
    z.strictObject({
        version: z.literal(protocolVersion),
        kind: z.literal("request"),
        /** 0: no reply is expected. */
        sequence: z.number().int().min(0),
        from: z.string().min(1).max(200),
        method: z.string().min(1).max(100),
        body: z.unknown(),
    }),
    z.strictObject({
        version: z.literal(protocolVersion),
        kind: z.literal("reply"),
        sequence: z.number().int().min(1),
        body: z.unknown(),
    }),
    z.strictObject({
        version: z.literal(protocolVersion),
        kind: z.literal("failure"),
        sequence: z.number().int().min(1),
        message: z.string().max(1_000),
    }),
]);

/** A message on the wire. */
export type Frame = z.output<typeof frameSchema>;

const codec = new Encoder({ useRecords: false, mapsAsObjects: true });

/**
 * Encodes a frame with its length prefix.
 *
 * @throws FrameError if the body is larger than {@link maxFrameBytes}.
 */
export const encodeFrame = (frame: Frame): Buffer => {
    const body = codec.encode(frame);
    if (body.length > maxFrameBytes) {
        throw new FrameError(`a message of ${body.length} bytes exceeds ${maxFrameBytes}; send it in smaller parts`);
    }
    const bytes = Buffer.allocUnsafe(4 + body.length);
    bytes.writeUInt32BE(body.length, 0);
    body.copy(bytes, 4);
    return bytes;
};

const decodeBody = (body: Buffer): Frame => {
    let value: unknown;
    try {
        value = codec.decode(body);
    }
    catch (cause) {
        throw new FrameError("a frame is not valid CBOR; check that the peer is a sniperoad instance", { cause });
    }
    const parsed = frameSchema.safeParse(value);
    if (!parsed.success) {
        throw new FrameError(
            `a frame does not follow protocol version ${protocolVersion}; run the same release on all instances`,
        );
    }
    return parsed.data;
};

/**
 * Reassembles frames from the chunks that a socket delivers.
 *
 * @example
 * const reader = new FrameReader();
 * socket.on("data", chunk => reader.push(chunk).forEach(handle));
 */
export class FrameReader {
    #buffered: Buffer = Buffer.alloc(0);

    /** Bytes of a frame that is not complete. */
    get bufferedBytes(): number {
        return this.#buffered.length;
    }

    /**
     * Adds a chunk and returns the frames that are complete.
     *
     * @throws FrameError if the peer violates the protocol; the connection must then be closed.
     */
    push(chunk: Buffer): Frame[] {
        this.#buffered = this.#buffered.length === 0 ? chunk : Buffer.concat([this.#buffered, chunk]);
        const frames: Frame[] = [];
        while (this.#buffered.length >= 4) {
            const length = this.#buffered.readUInt32BE(0);
            if (length === 0 || length > maxFrameBytes) {
                throw new FrameError(`a frame announces ${length} bytes; the limit is ${maxFrameBytes}`);
            }
            if (this.#buffered.length < 4 + length) {
                break;
            }
            frames.push(decodeBody(this.#buffered.subarray(4, 4 + length)));
            this.#buffered = this.#buffered.subarray(4 + length);
        }
        return frames;
    }
}
