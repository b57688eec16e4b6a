/** Ports for communication with other instances. */
import type { Datagram } from "./datagrams.js";

/** Exchanges datagrams with other instances; each may be lost, duplicated or delayed. */
export interface DatagramPort {
    send(peerAddress: string, datagram: Datagram): void;
    /** Sends a datagram to several instances, encoding it only once. */
    sendAll(peerAddresses: readonly string[], datagram: Datagram): void;
    onReceive(listener: (datagram: Datagram) => void): void;
}
