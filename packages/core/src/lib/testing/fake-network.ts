/** An in-memory network between instances, with delays, one-way cuts, pauses and kills. */
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

/** How the network treats messages between two instances. */
export interface NetworkOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** One-way delay of one message. */
    readonly delayMs: (from: InstanceId, to: InstanceId, random: Random) => number;
}

/**
 * Delivers messages between the fakes of instances. Bodies are checked against the method's schemas, as the TCP adapter
 * does.
 *
 * @example
 * const network = new FakeNetwork({ clock, random, delayMs: () => 0.5 });
 * const port = network.join(id<InstanceId>("i1"));
 * network.cut("i1", "i2"); // messages from i1 no longer reach i2
 */
export class FakeNetwork {
    readonly #options: NetworkOptions;
    readonly #endpoints = new Map<string, Endpoint>();
    readonly #cuts = new Set<string>();
    /** Messages sent by method, for measurements. */
    readonly sentByMethod = new Map<string, number>();

    constructor(options: NetworkOptions) {
        this.#options = options;
    }

    /** The port of a new instance. Its clock stops with {@link pause} and {@link kill}. */
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

    /** Loses messages from one instance to another; the other way stays open. */
    dropMessages(from: string, to: string): void {
        this.#cuts.add(`${from}>${to}`);
    }

    /** Ends all cuts. */
    heal(): void {
        this.#cuts.clear();
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
        this.#transmit(from, to, () => {
            const handler = this.#endpoints.get(to)?.handlers.get(method.name);
            if (handler === undefined) {
                return;
            }
            // A handler may be asynchronous; its failure reaches the caller as a missing reply.
            Promise.resolve(handler(from, method.request.parse(body))).then(
                value => this.#transmit(to, from, () => reply(value)),
                () => {},
            );
        });
    }

    #transmit(from: InstanceId, to: InstanceId, arrive: () => void): void {
        if (this.#cuts.has(`${from}>${to}`) || this.#endpoints.get(from)?.isDown === true) {
            return;
        }
        const { clock, random, delayMs } = this.#options;
        clock.after(delayMs(from, to, random), () => {
            const endpoint = this.#endpoints.get(to);
            // Checked on arrival as well: a cut also loses what is on its way.
            if (endpoint !== undefined && !endpoint.isDown && !this.#cuts.has(`${from}>${to}`)) {
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
                reject(
                    new PeerUnavailableError(
                        `no reply to ${method.name} from ${to} within ${timeoutMs} ms; ask another instance`,
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
