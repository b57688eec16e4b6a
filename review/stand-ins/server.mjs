/** Stand-in for a server of the users: slots, a queue, deadlines, and a record of what it ran. */
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import process from "node:process";

/** Requests that may wait for a slot. */
const maxWaiting = 8;

const seal = body => createHash("sha256").update(body).digest("hex").slice(0, 16);

const readLength = async request => {
    let sizeBytes = 0;
    for await (const chunk of request) {
        sizeBytes += chunk.length;
    }
    return sizeBytes;
};

/**
 * Runs each request for `workMs`, and answers it with `bodyOf`. A request that waits, or that is meant for another
 * server, is not run; its answer says so.
 */
export class UpstreamServer {
    /** Requests that began to run. */
    runs = [];
    #options;
    #running = 0;
    #waiting = [];
    #server = createServer({ requestTimeout: 0 }, (request, response) => void this.#serve(request, response));

    /**
     * `options`: id, host, service, slots, workMs(request), bodyOf(request), and, where they fit, isUnframed, for answers
     * without a length, and mustBreakOff(), for answers that are reset on the way.
     */
    constructor(options) {
        this.#options = options;
    }

    async listen() {
        await new Promise(resolve => this.#server.listen(0, this.#options.host, resolve));
        this.address = `${this.#options.host}:${this.#server.address().port}`;
    }

    close() {
        this.#server.closeAllConnections();
        this.#server.close();
    }

    /** The entry with which the server registers itself in the store. */
    entry(zone) {
        const { service, slots } = this.#options;
        return {
            address: this.address,
            born: Date.now(),
            info: { service, version: "v1", zone, slots },
            status: { state: "ready", seq: 1, warmup_left_ms: 0 },
        };
    }

    async #serve(request, response) {
        const { id, slots, workMs, bodyOf, isUnframed, mustBreakOff } = this.#options;
        const { headers } = request;
        const requestId = headers["request-id"];
        const common = { "server-load": `${this.#running},${this.#waiting.length},${slots}` };
        const reject = (status, extra) => {
            response.writeHead(status, { ...common, ...(requestId && { "request-id": requestId }), ...extra });
            response.end();
        };
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== id) {
            reject(421, { "instance-id": id });
            return;
        }
        if (requestId === undefined) {
            reject(400, { "not-executed": "1" });
            return;
        }
        if (this.#running >= slots && this.#waiting.length >= maxWaiting) {
            reject(503, { "not-executed": "1" });
            return;
        }
        const bodyBytes = await readLength(request).catch(() => undefined);
        const hasSlot = bodyBytes !== undefined && await this.#takeSlot(response);
        if (!hasSlot) {
            return;
        }
        const run = {
            atMs: Date.now(),
            requestId,
            server: id,
            method: request.method,
            target: request.url,
            tenant: headers.tenant,
            bodyBytes,
            state: "running",
        };
        this.runs.push(run);
        const limitMs = Number(headers["deadline-ms"] ?? 30_000);
        const wantedMs = workMs(request);
        await this.#work(response, Math.min(wantedMs, limitMs));
        this.#running--;
        this.#waiting.shift()?.();
        if (response.destroyed) {
            run.state = "dropped, its connection closed";
            return;
        }
        const isLate = wantedMs > limitMs;
        run.state = isLate ? "stopped at the deadline" : "answered";
        const body = isLate ? Buffer.alloc(0) : bodyOf(request);
        // Without a length and without chunks, the answer ends with its connection.
        response.useChunkedEncodingByDefault = false;
        response.writeHead(isLate ? 504 : 200, {
            ...common,
            "request-id": requestId,
            "server-seal": seal(body),
            ...(isUnframed ? { connection: "close" } : { "content-length": body.length }),
        });
        if (!mustBreakOff?.()) {
            response.end(body);
            return;
        }
        run.state = "broken off and reset within its answer";
        response.write(body.subarray(0, body.length / 2));
        // Node.js writes the part in a callback that it has queued before this one.
        process.nextTick(() => request.socket.resetAndDestroy());
    }

    /** Waits for a free slot; false if the connection closes before. */
    async #takeSlot(response) {
        if (this.#running >= this.#options.slots) {
            await new Promise(resolve => {
                this.#waiting.push(resolve);
                response.once("close", () => {
                    this.#waiting = this.#waiting.filter(waiting => waiting !== resolve);
                    resolve();
                });
            });
        }
        if (response.destroyed) {
            return false;
        }
        this.#running++;
        return true;
    }

    #work(response, durationMs) {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, durationMs);
            response.once("close", () => {
                clearTimeout(timer);
                resolve();
            });
        });
    }
}
