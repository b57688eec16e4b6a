/** Messages between instances over TCP. */
import { PeerUnavailableError } from "@sniperoad/core";
import type { Clock, InstanceId, LogPort, PeerMethod, PeerPort, Timer } from "@sniperoad/core";
import { createConnection, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { encodeFrame, FrameReader, protocolVersion } from "./frames.js";
import type { Frame } from "./frames.js";

type Handler = (from: InstanceId, body: unknown) => Promise<unknown>;

interface Waiting {
    readonly resolve: (body: unknown) => void;
    readonly reject: (error: Error) => void;
    readonly timer: Timer;
    readonly socket: Socket;
}

/** What {@link TcpPeers} needs. */
export interface TcpPeersOptions {
    readonly self: InstanceId;
    readonly clock: Clock;
    readonly log: LogPort;
}

/** Unsent bytes to one peer above which further messages are dropped, so that a slow peer costs no memory. */
const maxUnsentBytes = 4 * 1_048_576;

/** Longest reason in a failure frame; the schema of frames refuses longer ones. */
const maxFailureLength = 1_000;

const reasonOf = (error: unknown): string => error instanceof Error ? error.message : String(error);

/**
 * Peer messages over TCP: one outgoing connection to each peer, opened when needed; replies come back on the
 * connection of their request.
 *
 * @example
 * const peers = new TcpPeers({ self, clock, log });
 * await peers.listen("127.0.0.1", 7000);
 */
export class TcpPeers implements PeerPort {
    readonly #options: TcpPeersOptions;
    readonly #handlers = new Map<string, Handler>();
    readonly #addresses = new Map<InstanceId, string>();
    readonly #outgoing = new Map<InstanceId, Socket>();
    readonly #incoming = new Set<Socket>();
    readonly #waiting = new Map<number, Waiting>();
    #server: Server | undefined;
    #sequence = 0;
    /** Bytes written since the start, for the control cost. */
    sentBytes = 0;

    constructor(options: TcpPeersOptions) {
        this.#options = options;
    }

    /** Accepts connections of peers; resolves with the port. */
    listen(host: string, port: number): Promise<number> {
        return new Promise((resolve, reject) => {
            const server = createServer(socket => {
                this.#incoming.add(socket);
                socket.on("close", () => this.#incoming.delete(socket));
                this.#read(socket);
            });
            this.#server = server;
            server.once("error", reject);
            server.listen(port, host, () => {
                const address = server.address();
                resolve(typeof address === "object" && address !== null ? address.port : port);
            });
        });
    }

    /** Closes all connections. */
    close(): void {
        this.#server?.close();
        [...this.#incoming, ...this.#outgoing.values()].forEach(socket => socket.destroy());
    }

    setAddress(instance: InstanceId, peerAddress: string): void {
        this.#addresses.set(instance, peerAddress);
    }

    handle<Request, Reply>(
        method: PeerMethod<Request, Reply>,
        handler: (from: InstanceId, body: Request) => Reply | Promise<Reply>,
    ): void {
        this.#handlers.set(method.name, async (from, body) => handler(from, method.request.parse(body)));
    }

    notify<Request>(to: InstanceId, method: PeerMethod<Request, void>, body: Request): void {
        const socket = this.#connect(to);
        if (socket === undefined) {
            return;
        }
        try {
            this.#write(socket, this.#requestFrame(0, method.name, body));
        }
        catch (error) {
            this.#options.log.event("peer-message-not-sent", { to, method: method.name, reason: reasonOf(error) });
        }
    }

    call<Request, Reply>(
        to: InstanceId,
        method: PeerMethod<Request, Reply>,
        body: Request,
        timeoutMs: number,
    ): Promise<Reply> {
        const socket = this.#connect(to);
        if (socket === undefined) {
            return Promise.reject(
                new PeerUnavailableError(`the address of ${to} is not known yet; ask another instance`),
            );
        }
        const sequence = ++this.#sequence;
        return new Promise<unknown>((resolve, reject) => {
            const timer = this.#options.clock.after(timeoutMs, () => {
                this.#waiting.delete(sequence);
                reject(
                    new PeerUnavailableError(
                        `no reply to ${method.name} from ${to} within ${timeoutMs} ms; ask another instance`,
                    ),
                );
            });
            this.#waiting.set(sequence, { resolve, reject, timer, socket });
            try {
                this.#write(socket, this.#requestFrame(sequence, method.name, body));
            }
            catch (error) {
                this.#waiting.delete(sequence);
                timer.cancel();
                reject(new PeerUnavailableError(`${method.name} was not sent to ${to}: ${reasonOf(error)}`));
            }
        }).then(reply => {
            const parsed = method.reply.safeParse(reply);
            if (!parsed.success) {
                throw new PeerUnavailableError(
                    `the reply of ${to} to ${method.name} breaks the schema; run the same release on all instances`,
                );
            }
            return parsed.data;
        });
    }

    #requestFrame(sequence: number, method: string, body: unknown): Frame {
        return { version: protocolVersion, kind: "request", sequence, from: this.#options.self, method, body };
    }

    #connect(to: InstanceId): Socket | undefined {
        const open = this.#outgoing.get(to);
        if (open !== undefined && !open.destroyed) {
            return open;
        }
        const address = this.#addresses.get(to);
        if (address === undefined) {
            return undefined;
        }
        const split = address.lastIndexOf(":");
        const socket = createConnection({ host: address.slice(0, split), port: Number(address.slice(split + 1)) });
        this.#outgoing.set(to, socket);
        this.#read(socket);
        socket.on("close", () => {
            if (this.#outgoing.get(to) === socket) {
                this.#outgoing.delete(to);
            }
            this.#failWaiting(socket, to);
        });
        return socket;
    }

    /** A closed connection fails its requests at once rather than at their timeouts. */
    #failWaiting(socket: Socket, to: InstanceId): void {
        for (const [sequence, waiting] of this.#waiting) {
            if (waiting.socket === socket) {
                this.#waiting.delete(sequence);
                waiting.timer.cancel();
                waiting.reject(new PeerUnavailableError(`the connection to ${to} closed; ask another instance`));
            }
        }
    }

    #read(socket: Socket): void {
        const reader = new FrameReader();
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("data", (piece: Buffer) => {
            try {
                reader.push(piece).forEach(frame => this.#receive(socket, frame));
            }
            catch (error) {
                this.#options.log.event("peer-frame-rejected", {
                    remote: socket.remoteAddress,
                    reason: reasonOf(error),
                });
                socket.destroy();
            }
        });
    }

    #receive(socket: Socket, frame: Frame): void {
        if (frame.kind === "request") {
            void this.#serve(socket, frame);
            return;
        }
        const waiting = this.#waiting.get(frame.sequence);
        // Only the connection that carried the request may answer it.
        if (waiting === undefined || waiting.socket !== socket) {
            return;
        }
        this.#waiting.delete(frame.sequence);
        waiting.timer.cancel();
        if (frame.kind === "reply") {
            waiting.resolve(frame.body);
        }
        else {
            waiting.reject(new PeerUnavailableError(`the peer refused a message: ${frame.message}`));
        }
    }

    async #serve(socket: Socket, frame: Extract<Frame, { kind: "request"; }>): Promise<void> {
        const { sequence, method } = frame;
        const answer = (reply: Frame): void => {
            if (sequence !== 0 && !socket.destroyed) {
                this.#write(socket, reply);
            }
        };
        try {
            const handler = this.#handlers.get(method);
            if (handler === undefined) {
                throw new PeerUnavailableError(`method ${method} is not known; run the same release on all instances`);
            }
            const body = await handler(frame.from as InstanceId, frame.body);
            // A reply that exceeds the frame limit fails here and is answered with a failure.
            answer({ version: protocolVersion, kind: "reply", sequence, body });
        }
        catch (error) {
            const message = reasonOf(error).slice(0, maxFailureLength);
            this.#options.log.event("peer-message-rejected", { from: frame.from, method, reason: message });
            answer({ version: protocolVersion, kind: "failure", sequence, message });
        }
    }

    #write(socket: Socket, frame: Frame): void {
        if (socket.writableLength > maxUnsentBytes) {
            return;
        }
        const bytes = encodeFrame(frame);
        this.sentBytes += bytes.length;
        socket.write(bytes);
    }
}
