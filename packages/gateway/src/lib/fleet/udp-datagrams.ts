/** Datagram port over UDP. */
import type { LogPort } from "@sniperoad/core";
import { splitAddress } from "@sniperoad/daemon";
import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { errorMessage } from "../errors.js";
import { decodeDatagram, encodeDatagram } from "./datagrams.js";
import type { Datagram } from "./datagrams.js";
import type { DatagramPort } from "./ports.js";

/**
 * Sends and receives datagrams on one address.
 *
 * @example
 * const datagrams = await UdpDatagrams.open("10.0.0.5:7000", log);
 * datagrams.onReceive(handle);
 */
export class UdpDatagrams implements DatagramPort {
    readonly #socket: Socket;
    readonly #log: LogPort;
    #listener: (datagram: Datagram) => void = () => {};
    /** Total bytes sent. */
    sentBytes = 0;

    private constructor(socket: Socket, log: LogPort) {
        this.#socket = socket;
        this.#log = log;
        socket.on("message", bytes => this.#receive(bytes));
        socket.on("error", error => log.event("datagram-socket-failed", { reason: errorMessage(error) }));
    }

    /**
     * Opens a socket on an address, which must be numeric.
     *
     * @throws Error if the address is in use
     */
    static open(address: string, log: LogPort): Promise<UdpDatagrams> {
        const { host, port } = splitAddress(address);
        // Addresses are numeric; the default lookup would delay each datagram by a tick of the event loop.
        const socket = createSocket({
            type: "udp4",
            lookup: (address, _options, callback) => callback(null, address, 4),
        });
        return new Promise((resolve, reject) => {
            socket.once("error", reject);
            socket.bind(port, host, () => {
                socket.off("error", reject);
                resolve(new UdpDatagrams(socket, log));
            });
        });
    }

    onReceive(listener: (datagram: Datagram) => void): void {
        this.#listener = listener;
    }

    send(peerAddress: string, datagram: Datagram): void {
        this.sendAll([peerAddress], datagram);
    }

    sendAll(peerAddresses: readonly string[], datagram: Datagram): void {
        const bytes = encodeDatagram(datagram);
        for (const peerAddress of peerAddresses) {
            const { host, port } = splitAddress(peerAddress);
            this.sentBytes += bytes.length;
            // A datagram that cannot be sent is treated as lost; the protocol repeats what matters.
            this.#socket.send(bytes, port, host, error => {
                if (error !== null) {
                    this.#logUnsent(datagram, bytes.length, error);
                }
            });
        }
    }

    close(): void {
        this.#socket.close();
    }

    #logUnsent({ message }: Datagram, sizeBytes: number, error: Error): void {
        this.#log.event("datagram-not-sent", { kind: message.kind, sizeBytes, reason: errorMessage(error) });
    }

    #receive(bytes: Uint8Array): void {
        try {
            this.#listener(decodeDatagram(bytes));
        }
        catch (error) {
            this.#log.event("datagram-rejected", { reason: errorMessage(error), sizeBytes: bytes.length });
        }
    }
}
