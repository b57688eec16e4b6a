/** Stand-in for a server (back end), as PROTOCOL.md describes it. */
import { createServer } from "node:http";

const beatMs = 1_500;
/** Heartbeat intervals of silence after which the entry of a server is removed; it starts again under a new id. */
const silentBeats = 3;
/** Time from the first part of an answer until the server crashes. */
const crashInAnswerMs = 50;
/** Time from the first part of a garbled answer to what follows it, and until its connection ends. */
const refusalAgainMs = 20;
const garbledEndMs = 500;

/** The last refusal on each connection, as it was sent. */
const lastRefusals = new WeakMap();

const refusalText = requestId =>
    `HTTP/1.1 503 Service Unavailable\r\nrequest-id: ${requestId}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n`;

/**
 * Runs requests in slots with a queue behind them, and reports itself to the store. The path of a request can say what it
 * does: `work` is a function of the request that returns its work in ms,
 * "crash", or "crash-in-answer".
 */
export class Server {
    #server;
    #running = 0;
    #queue = [];
    #beat;
    #seq = 0;
    #starts = 1;
    #firstId;
    #born = Date.now();
    /** Whether the server leaves, as its entry and its answers say. */
    isLeaving = false;
    /** Share of the requests that it sheds with 503 and `Not-Executed`. */
    shedShare = 0;
    /** Share of its answers that it breaks off within the head, after which it writes its last refusal once more. */
    garbledShare = 0;
    isDown = false;

    constructor({ id, service, zone, slots = 3, queueLength = 12, work, store, record, backAfterMs = 2_000, random }) {
        this.#firstId = id;
        Object.assign(this, { id, service, zone, slots, queueLength, work, store, record, backAfterMs, random });
    }

    async start(host, port = 0) {
        this.#server = createServer((request, response) => void this.#receive(request, response));
        this.#server.keepAliveTimeout = 10_000;
        await new Promise((resolve, reject) => this.#server.once("error", reject).listen(port, host, resolve));
        this.host = host;
        this.port = this.#server.address().port;
        this.isDown = false;
        this.report();
        this.#beat = setInterval(() => this.report(), beatMs);
    }

    /** Writes the entry of the server, which changes when more than `seq` changes. */
    report() {
        this.#seq++;
        this.store.put("servers", this.id, {
            address: `${this.host}:${this.port}`,
            born: this.#born,
            info: { service: this.service, version: "v1", zone: this.zone, slots: this.slots },
            status: { state: this.isLeaving ? "draining" : "ready", seq: 1, warmup_left_ms: 0 },
        });
    }

    /** Ends without a word; the port refuses connections. */
    stop() {
        clearInterval(this.#beat);
        this.isDown = true;
        this.#queue = [];
        this.#running = 0;
        this.#server.close();
        this.#server.closeAllConnections();
    }

    async #crash() {
        if (this.isDown) {
            return;
        }
        this.record("crash", { server: this.id });
        this.stop();
        const formerId = this.id;
        const lapse = setTimeout(() => this.store.remove("servers", formerId), silentBeats * beatMs);
        lapse.unref();
        await new Promise(resolve => setTimeout(resolve, this.backAfterMs));
        this.#born = Date.now();
        this.#starts++;
        this.id = `${this.#firstId}-${this.#starts}`;
        await this.start(this.host, this.port);
    }

    async #receive(request, response) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const { headers, method, url } = request;
        const requestId = headers["request-id"];
        const body = Buffer.concat(chunks).toString();
        const answer = (status, extra = {}, text = "") => {
            if (response.destroyed) {
                return;
            }
            const load = `${this.#running},${this.#queue.length},${this.slots}`;
            const leaving = this.isLeaving ? { "server-leaving": "1" } : {};
            const idHeader = requestId === undefined ? {} : { "request-id": requestId };
            response.writeHead(status, { ...idHeader, "server-load": load, ...leaving, ...extra });
            response.end(text);
        };
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== this.id) {
            answer(421, { "instance-id": this.id });
            return;
        }
        if (url === "/healthz") {
            answer(this.isLeaving ? 503 : 200, { "instance-id": this.id });
            return;
        }
        this.record("arrive", { server: this.id, request: requestId, method, url });
        const isFull = this.#running >= this.slots && this.#queue.length >= this.queueLength;
        if (isFull || this.random() < this.shedShare) {
            this.record("reject", { server: this.id, request: requestId });
            lastRefusals.set(request.socket, refusalText(requestId));
            answer(503, { "not-executed": "1", "content-length": "0" });
            return;
        }
        const beginAnswer = onBegun => {
            const answerHeaders = {
                "request-id": requestId,
                "server-seal": `seal-${requestId}`,
                "content-length": "1000",
            };
            response.writeHead(200, answerHeaders);
            response.write("the first part of an answer", () => setTimeout(onBegun, crashInAnswerMs));
        };
        const garble = () => {
            const { socket } = request;
            const refusal = lastRefusals.get(socket);
            this.record("garbled", { server: this.id, request: requestId, hasRefusal: refusal !== undefined });
            // The head ends within the value of its last field.
            socket.write(
                `HTTP/1.1 200 OK\r\nrequest-id: ${requestId}\r\nserver-seal: seal-${requestId}\r\nserver-load: 1,0`,
            );
            if (refusal === undefined) {
                socket.end();
                return;
            }
            setTimeout(() => socket.write(refusal), refusalAgainMs);
            setTimeout(() => socket.destroy(), garbledEndMs);
        };
        const job = { request: { requestId, method, url, headers, body }, answer, beginAnswer, garble, isGone: false };
        response.on("close", () => job.isGone = true);
        this.#queue.push(job);
        this.#next();
    }

    #next() {
        while (this.#running < this.slots && this.#queue.length > 0) {
            const job = this.#queue.shift();
            if (!job.isGone) {
                this.#run(job);
            }
        }
    }

    #run({ request, answer, beginAnswer, garble }) {
        const { requestId, method, url } = request;
        this.record("run", { server: this.id, request: requestId, method, url, tenant: request.headers.tenant });
        const work = this.work(request);
        if (work === "crash") {
            void this.#crash();
            return;
        }
        if (work === "crash-in-answer") {
            beginAnswer(() => void this.#crash());
            return;
        }
        this.#running++;
        const generation = this.#born;
        setTimeout(() => {
            if (this.isDown || generation !== this.#born) {
                return;
            }
            this.#running--;
            this.record("ran", { server: this.id, request: requestId });
            if (this.random() < this.garbledShare) {
                garble();
                this.#next();
                return;
            }
            answer(200, { "server-seal": `seal-${requestId}` }, `answer to ${requestId}`);
            this.#next();
        }, work);
    }
}
