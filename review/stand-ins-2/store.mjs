/** Stand-in for the platform's metadata store, as PROTOCOL.md describes it. */
import { createServer } from "node:http";

const pageItems = 500;

/** Keeps objects by kind and name with one revision counter, and serves lists, watches and writes. */
export class Store {
    #kinds = new Map();
    #events = [];
    #waiting = new Set();
    #server;
    #revision = 100;

    /** Opens a free port and returns its address. */
    async listen(host) {
        this.#server = createServer((request, response) => void this.#serve(request, response));
        await new Promise((resolve, reject) => this.#server.once("error", reject).listen(0, host, resolve));
        return `${host}:${this.#server.address().port}`;
    }

    close() {
        this.#server.closeAllConnections();
        this.#server.close();
    }

    /** Writes an object as the operator or a server does. */
    put(kind, name, spec) {
        const former = this.#kind(kind).get(name);
        if (former !== undefined && JSON.stringify(former.spec) === JSON.stringify(spec)) {
            return former;
        }
        const revision = ++this.#revision;
        const metadata = {
            name,
            revision,
            created: former?.metadata.created ?? revision,
            finalizers: [],
            deleting: false,
        };
        const object = { metadata, spec, status: null };
        this.#kind(kind).set(name, object);
        this.#publish(kind, { object, deleted: false }, revision);
        return object;
    }

    remove(kind, name) {
        const object = this.#kind(kind).get(name);
        if (object !== undefined) {
            this.#kind(kind).delete(name);
            this.#publish(kind, { object, deleted: true }, ++this.#revision);
        }
    }

    #kind(kind) {
        const objects = this.#kinds.get(kind) ?? new Map();
        this.#kinds.set(kind, objects);
        return objects;
    }

    #publish(kind, event, revision) {
        this.#events.push({ kind, event, revision });
        this.#wake();
    }

    #wake() {
        [...this.#waiting].forEach(wake => wake());
    }

    async #serve(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const url = new URL(request.url, "http://store");
        const [kind, name] = url.pathname.split("/").slice(3).map(decodeURIComponent);
        const body = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
        await this.#answer({ method: request.method, kind, name, query: url.searchParams, body }, response);
    }

    async #answer({ method, kind, name, query, body }, response) {
        const objects = this.#kind(kind);
        if (method === "GET" && name !== undefined) {
            const object = objects.get(name);
            this.#reply(response, object === undefined ? 404 : 200, object ?? {});
        }
        else if (method === "GET" && query.has("watch")) {
            await this.#watch(kind, Number(query.get("watch")), Number(query.get("wait_ms") ?? 0), response);
        }
        else if (method === "GET") {
            const after = query.get("after") ?? "";
            const rest = [...objects.values()].filter(({ metadata }) => metadata.name > after)
                .sort((left, right) => left.metadata.name < right.metadata.name ? -1 : 1);
            const items = rest.slice(0, pageItems);
            this.#reply(response, 200, { items, has_more: rest.length > items.length, store_revision: this.#revision });
        }
        else if (method === "POST") {
            const existing = objects.get(body.metadata.name);
            this.#reply(
                response,
                existing === undefined ? 200 : 409,
                existing ?? this.put(kind, body.metadata.name, body.spec),
            );
        }
        else if (method === "PUT") {
            this.#reply(
                response,
                objects.has(name) ? 200 : 404,
                objects.has(name) ? this.put(kind, name, body.spec) : {},
            );
        }
        else {
            this.#reply(response, objects.has(name) ? 200 : 404, {});
            this.remove(kind, name);
        }
    }

    async #watch(kind, since, waitMs, response) {
        if (since > this.#revision) {
            this.#reply(response, 410, {});
            return;
        }
        const found = () => this.#events.filter(entry => entry.kind === kind && entry.revision > since);
        if (found().length === 0 && waitMs > 0) {
            await new Promise(resolve => {
                const done = () => {
                    clearTimeout(timer);
                    this.#waiting.delete(wake);
                    resolve();
                };
                const wake = () => found().length > 0 && done();
                const timer = setTimeout(done, waitMs);
                this.#waiting.add(wake);
            });
        }
        this.#reply(response, 200, { events: found().map(({ event }) => event), store_revision: this.#revision });
    }

    #reply(response, status, body) {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(body));
    }
}
