/** In-process peer network whose messages pass through the codec and the schemas, as over TCP, without sockets. */
import { PeerUnavailableError } from "@sniperoad/core";
import type { InstanceId, PeerMethod, PeerPort } from "@sniperoad/core";
import { encodeFrame, FrameReader, protocolVersion } from "@sniperoad/daemon";
import type { Frame } from "@sniperoad/daemon";

interface Endpoint {
    readonly handlers: Map<string, (from: InstanceId, body: unknown) => unknown>;
}

const decode = (bytes: Buffer): Frame => new FrameReader().push(bytes)[0]!;

/** Encodes a message as a frame. */
export const messageFrame = (from: string, method: string, body: unknown, sequence = 1): Buffer =>
    encodeFrame({ version: protocolVersion, kind: "request", sequence, from, method, body });

/** Encodes a reply as a frame. */
export const replyFrame = (body: unknown, sequence = 1): Buffer =>
    encodeFrame({ version: protocolVersion, kind: "reply", sequence, body });

/**
 * Connects instances of one process. Messages to an instance that has not joined are encoded, counted and dropped.
 *
 * @example
 * const network = new LoopbackNetwork();
 * const peers = network.join("i1");
 */
export class LoopbackNetwork {
    /** Number of frames and bytes sent, including replies. */
    readonly sent = { messages: 0, bytes: 0 };
    /** Body of the last notification that no instance received. */
    lastDropped: unknown;
    readonly #endpoints = new Map<string, Endpoint>();

    join(self: string): PeerPort {
        const endpoint: Endpoint = { handlers: new Map() };
        this.#endpoints.set(self, endpoint);
        return {
            call: async (to, method, body) => {
                const reply = await this.deliver(to, this.#count(messageFrame(self, method.name, body)));
                if (reply === undefined) {
                    throw new PeerUnavailableError(`${to} has not joined the network`);
                }
                return method.reply.parse((decode(this.#count(reply)) as { body: unknown; }).body);
            },
            notify: (to, method, body) => {
                const frame = this.#count(messageFrame(self, method.name, body, 0));
                if (this.#endpoints.has(to)) {
                    void this.deliver(to, frame);
                }
                else {
                    this.lastDropped = body;
                }
            },
            handle: <Request, Reply>(
                method: PeerMethod<Request, Reply>,
                handler: (from: InstanceId, body: Request) => Reply | Promise<Reply>,
            ) => {
                endpoint.handlers.set(method.name, (from, body) => handler(from, method.request.parse(body)));
            },
            setAddress: () => {},
        };
    }

    /** Delivers a frame to an instance, and returns the frame of its reply; undefined without a reply. */
    async deliver(to: string, bytes: Buffer): Promise<Buffer | undefined> {
        const frame = decode(bytes);
        if (frame.kind !== "request") {
            return undefined;
        }
        const handler = this.#endpoints.get(to)?.handlers.get(frame.method);
        const reply = await handler?.(frame.from as InstanceId, frame.body);
        return handler === undefined || frame.sequence === 0 ? undefined : replyFrame(reply, frame.sequence);
    }

    #count(frame: Buffer): Buffer {
        this.sent.messages++;
        this.sent.bytes += frame.length;
        return frame;
    }
}
