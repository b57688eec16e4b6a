/** Stand-in for the users' clients: one request at a time on each kept connection. */
import { randomBytes } from "node:crypto";
import { Agent, request as httpRequest } from "node:http";

/** A client with one connection, which it keeps for its next request. */
export class Client {
    #agent = new Agent({ keepAlive: true, maxSockets: 1 });

    close() {
        this.#agent.destroy();
    }

    /**
     * Sends a request and reads its whole answer. `readBytesPerSecond` limits the speed at which the answer is read.
     * Resolves with the status, the size of the body that arrived, and whether the answer was complete.
     */
    send({ address, method = "POST", host, path, key, deadlineMs, body, readBytesPerSecond }) {
        const [hostname, port] = address.split(":");
        const requestId = randomBytes(8).toString("hex");
        const sentMs = Date.now();
        return new Promise(resolve => {
            const state = { status: undefined, sizeBytes: 0, isSent: false, isKept: false };
            let isEnded = false;
            const end = (isComplete, error) => {
                if (!isEnded) {
                    isEnded = true;
                    clearTimeout(timer);
                    resolve({ requestId, address, sentMs, endMs: Date.now(), ...state, isComplete, error });
                }
            };
            const outgoing = httpRequest({
                agent: this.#agent,
                hostname,
                port,
                method,
                path,
                headers: {
                    host,
                    "request-id": requestId,
                    "deadline-ms": String(deadlineMs),
                    ...(key !== undefined && { credential: key }),
                    ...(body !== undefined && { "content-length": body.length }),
                },
            }, response => {
                state.status = response.statusCode;
                state.outcome = response.headers["sniperoad-outcome"];
                const startMs = Date.now();
                response.on("data", chunk => {
                    state.sizeBytes += chunk.length;
                    const dueMs = readBytesPerSecond === undefined
                        ? 0
                        : startMs + state.sizeBytes / readBytesPerSecond * 1_000 - Date.now();
                    if (dueMs > 1) {
                        response.pause();
                        setTimeout(() => response.resume(), dueMs);
                    }
                });
                response.on("end", () => end(response.complete));
                response.on("error", error => end(false, error.code));
            });
            const timer = setTimeout(() => {
                end(false, "deadline");
                outgoing.destroy();
            }, deadlineMs);
            outgoing.on("finish", () => {
                state.isSent = true;
                state.isKept = outgoing.reusedSocket;
            });
            outgoing.on("error", error => end(false, error.code));
            outgoing.end(body);
        });
    }
}
