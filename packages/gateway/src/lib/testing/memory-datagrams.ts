/** In-memory datagrams between the instances of a test, with packet loss and partitions. */
import type { Clock, Random } from "@sniperoad/core";
import { decodeDatagram, encodeDatagram } from "../fleet/datagrams.js";
import type { Datagram } from "../fleet/datagrams.js";
import type { DatagramPort } from "../fleet/ports.js";

/**
 * A network on a virtual clock. Datagrams are encoded and decoded as on a real network.
 *
 * @example
 * const network = new MemoryDatagrams(clock, random);
 * const port = network.port("10.0.0.1:7000");
 */
export class MemoryDatagrams {
    readonly #clock: Clock;
    readonly #random: Random;
    readonly #listeners = new Map<string, (datagram: Datagram) => void>();
    /** Share of the datagrams that are lost. */
    lossRate = 0;
    /** Total number of datagrams sent. */
    sentCount = 0;
    /** Called for each datagram. */
    onSend: (from: string, to: string, sizeBytes: number) => void = () => {};
    /** Whether a datagram from one address can reach another. */
    mayPass: (from: string, to: string) => boolean = () => true;

    constructor(clock: Clock, random: Random) {
        this.#clock = clock;
        this.#random = random;
    }

    /** The port of the instance at an address. */
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

    /** Removes an instance; it receives no further datagrams. */
    remove(address: string): void {
        this.#listeners.delete(address);
    }

    #deliver(from: string, to: string, bytes: Buffer): void {
        this.sentCount++;
        this.onSend(from, to, bytes.length);
        if (!this.mayPass(from, to) || this.#random() < this.lossRate) {
            return;
        }
        this.#clock.after(1, () => this.#listeners.get(to)?.(decodeDatagram(bytes)));
    }
}
