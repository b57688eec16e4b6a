// Stand-ins for the users' servers.
import { createServer } from "node:http";

/**
 * A server with `slots` and a short queue. `behave(request, body, server)` may return an answer of its own, or "crash";
 * undefined: an ordinary answer after `workMs`.
 */
export class Server {
    running = 0;
    queued = 0;
    #sockets = new Set();
    #http;

    constructor({ host, port = 0, id, service, zone, slots = 3, workMs = 100, behave = () => undefined, record = () => {} }) {
        Object.assign(this, { host, port, id, service, zone, slots, workMs, behave, record, born: Date.now() });
    }

    async listen() {
        this.#http = createServer((request, response) => void this.#serve(request, response));
        this.#http.keepAliveTimeout = 10_000;
        this.#http.on("connection", socket => {
            this.#sockets.add(socket);
            socket.on("close", () => this.#sockets.delete(socket));
        });
        await new Promise(resolve => this.#http.listen(this.port, this.host, resolve));
        this.port = this.#http.address().port;
        return this;
    }

    get address() {
        return `${this.host}:${this.port}`;
    }

    entry(state = "ready") {
        const { service, zone, slots, address, born } = this;
        return { address, born, info: { service, version: "v1", zone, slots }, status: { state, seq: 1, warmup_left_ms: 0 } };
    }

    /** Ends as a process does that crashes: its port and its connections are gone at once. */
    crash() {
        this.#http.close();
        this.#sockets.forEach(socket => socket.resetAndDestroy());
    }

    close() {
        this.#http.closeAllConnections();
        this.#http.close();
    }

    async #serve(request, response) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const id = request.headers["request-id"];
        const common = { ...(id === undefined ? {} : { "request-id": id }), "server-load": `${this.running},${this.queued},${this.slots}` };
        const send = (status, headers, body) => {
            const bytes = Buffer.from(body);
            response.writeHead(status, { ...common, "content-length": bytes.length, ...headers });
            response.end(bytes);
        };
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            send(421, { "not-executed": "1", "instance-id": this.id }, "");
            return;
        }
        const body = Buffer.concat(chunks);
        if (this.running >= this.slots * 5) {
            this.record({ server: this.id, id, path: request.url, event: "rejected" });
            send(503, { "not-executed": "1" }, "");
            return;
        }
        this.running++;
        this.record({ server: this.id, id, path: request.url, tenant: request.headers.tenant, event: "run" });
        const own = await this.behave(request, body, this);
        if (own === "crash") {
            this.record({ server: this.id, id, path: request.url, event: "crashed" });
            this.running = 0;
            this.crash();
            return;
        }
        await new Promise(resolve => setTimeout(resolve, own?.workMs ?? this.workMs));
        this.running--;
        if (own?.send !== undefined) {
            own.send(response, common);
            return;
        }
        send(own?.status ?? 200, { "server-seal": `seal.${id}`, ...own?.headers }, own?.body ?? `answer of ${this.id} to ${id}`);
    }
}
