/** Tells whether the peer of a connection has closed or reset it. */
import type { Socket } from "node:net";

/** How a connection ended; only `closed` means that the peer has sent everything that it meant to send. */
export type ConnectionEnd = "closed" | "reset";

const noBytes = Buffer.alloc(0);

/**
 * Observes how a connection ends. If a reset is already pending when Node.js reads the last bytes, the socket emits
 * `end` as after an ordinary close: libuv takes a hang-up after a partial read for the end of the stream, and does not
 * read the error of the socket. An empty write reports that error, and sends nothing. After an ordinary close it
 * succeeds, or fails with `EPIPE` if the peer has reset the connection since.
 *
 * @param socket a connection with `allowHalfOpen`; otherwise Node.js replaces its `write` before it emits `end`. Observe
 * it before anyone else listens to `end`, since later listeners may destroy it.
 * @returns a promise that settles at the end of the connection, and never rejects
 * @example
 * const end = observeEnd(socket);
 * await readBody();
 * if (await end === "reset") { the body may be truncated }
 */
export const observeEnd = (socket: Socket): Promise<ConnectionEnd> =>
    new Promise(resolve => {
        socket.once("end", () => {
            socket.write(noBytes, error =>
                resolve(
                    (error as NodeJS.ErrnoException | null | undefined)?.code === "ECONNRESET" ? "reset" : "closed",
                ));
        });
        socket.once("error", () => resolve("reset"));
        // Follows `end` or `error`, if there is one.
        socket.once("close", () => resolve("reset"));
    });
