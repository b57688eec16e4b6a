/** Datagrams between instances of one test, with loss and cuts. */
import type { Clock, Random } from "@sniperoad/core";
import { decodeDatagram, encodeDatagram } from "../fleet/datagrams.js";
import type { Datagram } from "../fleet/datagrams.js";
import type { DatagramPort } from "../fleet/ports.js";

/**
 * A network on a virtual clock. Datagrams pass the real encoding.
 *
 * @example
 * const network = new MemoryDatagrams(clock, random);
 * const port = network.port("10.0.0.1:7000");
 */
export class MemoryDatagrams {
    readonly #clock: Clock;
    readonly #random: Random;
    readonly #listeners = new Map<string, (datagram: Datagram) => void>();
    /** Part of the datagrams that are lost. */
    lossShare = 0;
    /** Datagrams sent since the start. */
    sentCount = 0;
    /** Whether a datagram may pass from one address to another. */
    mayPass: (from: string, to: string) => boolean = () => true;

    constructor(clock: Clock, random: Random) {
        this.#clock = clock;
        this.#random = random;
    }

    port(address: string): DatagramPort {
        const sendAll = (targets: readonly string[], datagram: Datagram): void => {
            const bytes = encodeDatagram(datagram);
            targets.forEach(target => this.#deliver(address, target, bytes));
        };
        return {
            send: (target, datagram) => sendAll([target], datagram),
            sendAll,
            onReceive: listener => this.#listeners.set(address, listener),
        };
    }

    /** Ends an instance: nothing reaches it any more. */
    remove(address: string): void {
        this.#listeners.delete(address);
    }

    #deliver(from: string, to: string, bytes: Buffer): void {
        this.sentCount++;
        if (!this.mayPass(from, to) || this.#random() < this.lossShare) {
            return;
        }
        this.#clock.after(1, () => this.#listeners.get(to)?.(decodeDatagram(bytes)));
    }
}
