/** Messages between instances over TCP. */
import { PeerUnavailableError } from "@sniperoad/core";
import type { Clock, InstanceId, LogPort, PeerMethod, PeerPort, Timer } from "@sniperoad/core";
import { createConnection, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { encodeFrame, FrameError, FrameReader, protocolVersion } from "./frames.js";
import type { Frame } from "./frames.js";

type Handler = (from: InstanceId, body: unknown) => Promise<unknown>;

interface PendingCall {
    readonly resolve: (body: unknown) => void;
    readonly reject: (error: Error) => void;
    readonly timer: Timer;
    readonly socket: Socket;
}

/** Options of {@link TcpPeers}. */
export interface TcpPeersOptions {
    readonly self: InstanceId;
    readonly clock: Clock;
    readonly log: LogPort;
    /** Maximum number of connections from peers; default: any number. */
    readonly maxIncoming?: number;
}

/** Unsent bytes per connection above which messages are dropped, so that a slow peer does not exhaust memory. */
const maxUnsentBytes = 4 * 1_048_576;

/** Bytes of incomplete frames on all connections; beyond, a connection that brings more of one is closed. */
const maxUnfinishedBytes = 16 * 1_048_576;

/** Connections closed for their number for each line on them in the log. */
const evictionsPerLine = 100;

/**
 * Time for which a connection on which a call got no reply is kept for the replies to its other calls. New calls use
 * another connection from then on.
 */
const retiredForMs = 5_000;

/** Maximum length of the reason in a failure frame; the frame schema rejects longer ones. */
const maxFailureLength = 1_000;

const errorMessage = (error: unknown): string => error instanceof Error ? error.message : String(error);

/**
 * Exchanges messages with peers over TCP. There is one outgoing connection per peer, opened on demand; replies are sent
 * on the connection of their request.
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
    /** In the order in which they were opened, or in which their last message arrived. */
    readonly #incoming = new Set<Socket>();
    /** Connections on which a message has arrived. */
    readonly #heard = new WeakSet<Socket>();
    #evictedCount = 0;
    /** Bytes of incomplete frames on all connections. */
    #unfinishedBytes = 0;
    /** Outgoing connections that are used for the replies to pending calls only. */
    readonly #retired = new Set<Socket>();
    readonly #pendingCalls = new Map<number, PendingCall>();
    #server: Server | undefined;
    #sequence = 0;
    /** Total bytes written, a measure of the control traffic. */
    sentBytes = 0;

    constructor(options: TcpPeersOptions) {
        this.#options = options;
    }

    /** Starts accepting connections from peers; resolves with the port. */
    listen(host: string, port: number): Promise<number> {
        return new Promise((resolve, reject) => {
            const server = createServer(socket => {
                this.#makeRoom();
                this.#incoming.add(socket);
                socket.on("close", () => this.#incoming.delete(socket));
                this.#readFrames(socket);
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
        [...this.#incoming, ...this.#outgoing.values(), ...this.#retired].forEach(socket => socket.destroy());
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
            // Sequence 0 means that no reply is expected.
            this.#write(socket, this.#requestFrame(0, method.name, body));
        }
        catch (error) {
            this.#options.log.event("peer-message-not-sent", { to, method: method.name, reason: errorMessage(error) });
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
        const bytesReadBefore = socket.bytesRead;
        return new Promise<unknown>((resolve, reject) => {
            const timer = this.#options.clock.after(timeoutMs, () => {
                this.#pendingCalls.delete(sequence);
                this.#retireIfSilent(to, socket, bytesReadBefore);
                reject(
                    new PeerUnavailableError(
                        `no reply to ${method.name} from ${to} within ${timeoutMs} ms; ask another instance`,
                    ),
                );
            });
            this.#pendingCalls.set(sequence, { resolve, reject, timer, socket });
            try {
                this.#write(socket, this.#requestFrame(sequence, method.name, body));
            }
            catch (error) {
                this.#pendingCalls.delete(sequence);
                timer.cancel();
                reject(new PeerUnavailableError(`${method.name} was not sent to ${to}: ${errorMessage(error)}`));
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

    /** Closes the connection without a message, or else with the oldest last message, if there are too many. */
    #makeRoom(): void {
        const { maxIncoming = Infinity, log } = this.#options;
        if (this.#incoming.size < maxIncoming) {
            return;
        }
        const sockets = [...this.#incoming];
        const closed = sockets.find(socket => !this.#heard.has(socket)) ?? sockets[0];
        if (closed !== undefined) {
            this.#incoming.delete(closed);
            closed.resetAndDestroy();
            if (this.#evictedCount++ % evictionsPerLine === 0) {
                log.event("peer-connection-evicted", { maxIncoming, count: this.#evictedCount });
            }
        }
    }

    /** Returns the outgoing connection to a peer and opens it if necessary; undefined if its address is unknown. */
    #connect(to: InstanceId): Socket | undefined {
        const existing = this.#outgoing.get(to);
        if (existing !== undefined && !existing.destroyed) {
            return existing;
        }
        const address = this.#addresses.get(to);
        if (address === undefined) {
            return undefined;
        }
        const colon = address.lastIndexOf(":");
        const socket = createConnection({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
        this.#outgoing.set(to, socket);
        this.#readFrames(socket);
        socket.on("close", () => {
            if (this.#outgoing.get(to) === socket) {
                this.#outgoing.delete(to);
            }
            this.#failPendingCalls(socket, to);
        });
        return socket;
    }

    /**
     * Stops using a connection on which nothing has arrived since a call was sent. A connection can become silent without a
     * reset, and the kernel closes it only after minutes. The peer may also be slow, so that it is closed later.
     */
    #retireIfSilent(to: InstanceId, socket: Socket, bytesReadBefore: number): void {
        if (socket.bytesRead > bytesReadBefore || this.#outgoing.get(to) !== socket) {
            return;
        }
        const { clock, log } = this.#options;
        log.event("peer-connection-silent", { to });
        this.#outgoing.delete(to);
        this.#retired.add(socket);
        const timer = clock.after(retiredForMs, () => socket.destroy());
        socket.on("close", () => {
            timer.cancel();
            this.#retired.delete(socket);
        });
    }

    /** Fails the pending calls of a closed connection immediately instead of at their timeouts. */
    #failPendingCalls(socket: Socket, to: InstanceId): void {
        for (const [sequence, pending] of this.#pendingCalls) {
            if (pending.socket === socket) {
                this.#pendingCalls.delete(sequence);
                pending.timer.cancel();
                pending.reject(new PeerUnavailableError(`the connection to ${to} closed; ask another instance`));
            }
        }
    }

    #readFrames(socket: Socket): void {
        const reader = new FrameReader();
        let countedBytes = 0;
        const count = (bufferedBytes: number): void => {
            this.#unfinishedBytes += bufferedBytes - countedBytes;
            countedBytes = bufferedBytes;
        };
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => count(0));
        socket.on("data", (chunk: Buffer) => {
            if (socket.destroyed) {
                return;
            }
            try {
                const frames = reader.push(chunk);
                count(reader.bufferedBytes);
                if (this.#unfinishedBytes > maxUnfinishedBytes) {
                    throw new FrameError(`incomplete frames take more than ${maxUnfinishedBytes} bytes in all`);
                }
                frames.forEach(frame => this.#receive(socket, frame));
            }
            catch (error) {
                this.#options.log.event("peer-frame-rejected", {
                    remote: socket.remoteAddress,
                    reason: errorMessage(error),
                });
                socket.destroy();
            }
        });
    }

    #receive(socket: Socket, frame: Frame): void {
        this.#heard.add(socket);
        if (this.#incoming.delete(socket)) {
            this.#incoming.add(socket);
        }
        if (frame.kind === "request") {
            void this.#serve(socket, frame);
            return;
        }
        const pending = this.#pendingCalls.get(frame.sequence);
        // A reply is accepted only on the connection of its request.
        if (pending === undefined || pending.socket !== socket) {
            return;
        }
        this.#pendingCalls.delete(frame.sequence);
        pending.timer.cancel();
        if (frame.kind === "reply") {
            pending.resolve(frame.body);
        }
        else {
            pending.reject(new PeerUnavailableError(`the peer refused a message: ${frame.message}`));
        }
    }

    async #serve(socket: Socket, frame: Extract<Frame, { kind: "request"; }>): Promise<void> {
        const { sequence, method } = frame;
        const sendReply = (reply: Frame): void => {
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
            // A reply that exceeds the frame limit throws here and is replaced by a failure.
            sendReply({ version: protocolVersion, kind: "reply", sequence, body });
        }
        catch (error) {
            const message = errorMessage(error).slice(0, maxFailureLength);
            this.#options.log.event("peer-message-rejected", { from: frame.from, method, reason: message });
            sendReply({ version: protocolVersion, kind: "failure", sequence, message });
        }
    }

    /** Writes a frame, or drops it if too many bytes are unsent. */
    #write(socket: Socket, frame: Frame): void {
        if (socket.writableLength > maxUnsentBytes) {
            return;
        }
        const bytes = encodeFrame(frame);
        this.sentBytes += bytes.length;
        socket.write(bytes);
    }
}
