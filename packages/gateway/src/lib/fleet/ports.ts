/** Ports by which an instance talks to the others. */
import type { Datagram } from "./datagrams.js";

/** Datagrams to other instances; each may be lost, repeated or late. */
export interface DatagramPort {
    send(peerAddress: string, datagram: Datagram): void;
    /** Sends the same datagram to many instances, encoded once. */
    sendAll(peerAddresses: readonly string[], datagram: Datagram): void;
    onReceive(listener: (datagram: Datagram) => void): void;
}
