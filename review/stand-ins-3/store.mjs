// Stand-in for the platform's metadata store: lists, watches with events in order, conditional writes.
import { createServer } from "node:http";

const historyMs = 20_000;

export class Store {
    #objects = new Map();
    #events = [];
    #revision = 100;
    /** Newest revision that is no longer in the history. */
    #goneRevision = 0;
    #waiting = new Set();
    #server;

    static async open(host) {
        const store = new Store();
        store.#server = createServer((request, response) => void store.#serve(request, response));
        store.#server.keepAliveTimeout = 30_000;
        await new Promise(resolve => store.#server.listen(0, host, resolve));
        const { address, port } = store.#server.address();
        store.address = `${address}:${port}`;
        return store;
    }

    close() {
        this.#server.closeAllConnections();
        this.#server.close();
    }

    put(kind, name, spec) {
        const objects = this.#kind(kind);
        const created = objects.get(name)?.metadata.created ?? this.#revision + 1;
        const metadata = { name, revision: ++this.#revision, created, finalizers: [], deleting: false };
        const object = { metadata, spec, status: null };
        objects.set(name, object);
        this.#record(kind, { deleted: false, object });
        return object;
    }

    remove(kind, name) {
        const object = this.#kind(kind).get(name);
        if (object === undefined) {
            return;
        }
        this.#kind(kind).delete(name);
        this.#revision++;
        this.#record(kind, { deleted: true, object });
    }

    #kind(kind) {
        if (!this.#objects.has(kind)) {
            this.#objects.set(kind, new Map());
        }
        return this.#objects.get(kind);
    }

    #record(kind, event) {
        const atMs = performance.now();
        const dropped = this.#events.filter(entry => atMs - entry.atMs >= historyMs);
        this.#goneRevision = dropped.at(-1)?.revision ?? this.#goneRevision;
        this.#events = this.#events.slice(dropped.length);
        this.#events.push({ kind, event, revision: this.#revision, atMs });
        [...this.#waiting].forEach(wake => wake());
    }

    async #serve(request, response) {
        const url = new URL(request.url ?? "/", "http://store");
        const [kind = "", name] = url.pathname.split("/").slice(3);
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const reply = (status, body = {}) => {
            const text = JSON.stringify(body);
            response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
            response.end(text);
        };
        const objects = this.#kind(kind);
        if (request.method === "GET" && name !== undefined) {
            const object = objects.get(name);
            reply(object === undefined ? 404 : 200, object);
            return;
        }
        if (request.method === "GET") {
            const since = url.searchParams.get("watch");
            if (since === null) {
                reply(200, { items: [...objects.values()], has_more: false, store_revision: this.#revision });
                return;
            }
            const from = Number(since);
            if (from < this.#goneRevision) {
                reply(410);
                return;
            }
            const find = () => this.#events.filter(entry => entry.kind === kind && entry.revision > from);
            if (find().length === 0) {
                await this.#wait(Number(url.searchParams.get("wait_ms") ?? 0));
            }
            reply(200, { events: find().map(({ event }) => event), store_revision: this.#revision });
            return;
        }
        const body = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
        const target = name ?? body?.metadata?.name;
        const held = objects.get(target);
        const expected = body?.metadata?.revision ?? url.searchParams.get("revision") ?? undefined;
        if (request.method === "POST" ? held !== undefined : expected !== undefined && Number(expected) !== held?.metadata.revision) {
            reply(409, held);
            return;
        }
        if (request.method === "POST" || request.method === "PUT") {
            if (request.method === "PUT" && held === undefined) {
                reply(404);
                return;
            }
            const isSame = held !== undefined && JSON.stringify(held.spec) === JSON.stringify(body.spec);
            reply(200, isSame ? held : this.put(kind, target, body.spec));
            return;
        }
        if (request.method === "DELETE") {
            this.remove(kind, target);
            reply(held === undefined ? 404 : 200);
            return;
        }
        reply(405);
    }

    #wait(waitMs) {
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                this.#waiting.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, waitMs);
            this.#waiting.add(wake);
        });
    }
}
