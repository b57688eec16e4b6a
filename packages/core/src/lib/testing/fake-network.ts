/** An in-memory network between instances, with delays, one-way message loss, pauses and kills. */
import { PeerUnavailableError } from "../errors.js";
import type { Clock, PeerMethod, PeerPort, Random } from "../ports.js";
import type { InstanceId } from "../types.js";
import { PausableClock } from "./virtual-clock.js";

type Handler = (from: InstanceId, body: unknown) => unknown;

interface Endpoint {
    readonly clock: PausableClock;
    readonly handlers: Map<string, Handler>;
    isDown: boolean;
}

interface Connection {
    isSilent: boolean;
}

/** Options of {@link FakeNetwork}. */
export interface NetworkOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Returns the one-way delay of one message. */
    readonly delayMs: (from: InstanceId, to: InstanceId, random: Random) => number;
}

/**
 * Delivers messages between instances in memory. Bodies are validated against the method's schemas, as in the TCP
 * adapter.
 *
 * @example
 * const network = new FakeNetwork({ clock, random, delayMs: () => 0.5 });
 * const { peers } = network.join(id<InstanceId>("i1"));
 * network.dropMessages("i1", "i2"); // messages from i1 no longer reach i2
 */
export class FakeNetwork {
    readonly #options: NetworkOptions;
    readonly #endpoints = new Map<string, Endpoint>();
    readonly #blockedLinks = new Set<string>();
    /** Connections by "from>to", as the TCP adapter has one for the calls to each peer. */
    readonly #connections = new Map<string, Connection>();
    /** Number of messages sent, by method, for measurements. */
    readonly sentByMethod = new Map<string, number>();

    constructor(options: NetworkOptions) {
        this.#options = options;
    }

    /** Adds an instance and returns its port and clock. The clock stops with {@link pause} and {@link kill}. */
    join(self: InstanceId): { readonly peers: PeerPort; readonly clock: PausableClock; } {
        const clock = new PausableClock(this.#options.clock);
        const endpoint: Endpoint = { clock, handlers: new Map(), isDown: false };
        this.#endpoints.set(self, endpoint);
        const peers: PeerPort = {
            call: (to, method, body, timeoutMs) => this.#call(self, to, method, body, timeoutMs),
            notify: (to, method, body) => this.#deliver(self, to, method, body, () => {}),
            handle: (method, handler) => {
                endpoint.handlers.set(method.name, handler as Handler);
            },
            setAddress: () => {},
        };
        return { peers, clock };
    }

    /** Drops messages from one instance to another; the opposite direction is not affected. */
    dropMessages(from: string, to: string): void {
        this.#blockedLinks.add(`${from}>${to}`);
    }

    /** Restores delivery between all instances. */
    heal(): void {
        this.#blockedLinks.clear();
    }

    /** Makes all connections silent that were used so far: nothing arrives on them, and no error is reported. */
    silenceConnections(): void {
        this.#connections.forEach(connection => connection.isSilent = true);
    }

    pause(instance: string): void {
        this.#endpoints.get(instance)?.clock.pause();
    }

    resume(instance: string): void {
        this.#endpoints.get(instance)?.clock.resume();
    }

    kill(instance: string): void {
        const endpoint = this.#endpoints.get(instance);
        if (endpoint !== undefined) {
            endpoint.isDown = true;
            endpoint.clock.stop();
        }
    }

    #deliver<Request, Reply>(
        from: InstanceId,
        to: InstanceId,
        method: PeerMethod<Request, Reply>,
        body: Request,
        reply: (value: unknown) => void,
    ): void {
        this.sentByMethod.set(method.name, (this.sentByMethod.get(method.name) ?? 0) + 1);
        const connection = this.#connect(from, to);
        if (connection.isSilent) {
            return;
        }
        this.#transmit(from, to, () => {
            const handler = this.#endpoints.get(to)?.handlers.get(method.name);
            if (handler === undefined) {
                return;
            }
            // A handler may be asynchronous. If it fails, no reply is sent.
            Promise.resolve(handler(from, method.request.parse(body))).then(
                value => this.#transmit(to, from, () => connection.isSilent || reply(value)),
                () => {},
            );
        });
    }

    #connect(from: InstanceId, to: InstanceId): Connection {
        const key = `${from}>${to}`;
        const connection = this.#connections.get(key) ?? { isSilent: false };
        this.#connections.set(key, connection);
        return connection;
    }

    #transmit(from: InstanceId, to: InstanceId, arrive: () => void): void {
        if (this.#blockedLinks.has(`${from}>${to}`) || this.#endpoints.get(from)?.isDown === true) {
            return;
        }
        const { clock, random, delayMs } = this.#options;
        clock.after(delayMs(from, to, random), () => {
            const endpoint = this.#endpoints.get(to);
            // Checked again on arrival, because messages in transit are dropped as well.
            if (endpoint !== undefined && !endpoint.isDown && !this.#blockedLinks.has(`${from}>${to}`)) {
                endpoint.clock.run(arrive);
            }
        });
    }

    #call<Request, Reply>(
        from: InstanceId,
        to: InstanceId,
        method: PeerMethod<Request, Reply>,
        body: Request,
        timeoutMs: number,
    ): Promise<Reply> {
        return new Promise((resolve, reject) => {
            const own = this.#endpoints.get(from)!.clock;
            const timer = own.after(timeoutMs, () => {
                // The TCP adapter opens a new connection after a call without a reply.
                this.#connections.delete(`${from}>${to}`);
                reject(
                    new PeerUnavailableError(
                        `no reply to ${method.name} from ${to} within ${timeoutMs} ms; try another instance`,
                    ),
                );
            });
            this.#deliver(from, to, method, body, value => {
                timer.cancel();
                resolve(method.reply.parse(value));
            });
        });
    }
}
