/** Stand-in for the platform's metadata store, as PROTOCOL.md of the users' pages describes it. */
import { createServer } from "node:http";

/** Maximum number of objects on a page of a list. */
const pageSize = 500;
/** Maximum size of an object, `value_bytes` in the users' settings. */
const maxObjectBytes = 1_048_576;

const readBody = async request => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
};

/** An object store with one revision counter; it keeps its whole history. */
export class Store {
    #revision = 1;
    /** Objects by kind and name. */
    #kinds = new Map();
    /** Events in the order of their revisions. */
    #history = [];
    #waiting = new Set();
    #server = createServer((request, response) => void this.#serve(request, response));

    async listen(host) {
        await new Promise(resolve => this.#server.listen(0, host, resolve));
        this.address = `${host}:${this.#server.address().port}`;
    }

    close() {
        this.#server.closeAllConnections();
        this.#server.close();
    }

    /** Creates or replaces an object, as the operator and the servers do. Returns the size of its JSON. */
    write(kind, name, spec) {
        const sizeBytes = Buffer.byteLength(JSON.stringify(spec));
        if (sizeBytes > maxObjectBytes) {
            throw new Error(`${kind}/${name} has ${sizeBytes} bytes, more than the store takes`);
        }
        this.#put(kind, name, { spec: structuredClone(spec) });
        return sizeBytes;
    }

    remove(kind, name) {
        const object = this.#objects(kind).get(name);
        if (object !== undefined) {
            this.#objects(kind).delete(name);
            this.#record(kind, object, true);
        }
    }

    #objects(kind) {
        const objects = this.#kinds.get(kind) ?? new Map();
        this.#kinds.set(kind, objects);
        return objects;
    }

    #put(kind, name, { spec, status, finalizers }) {
        const previous = this.#objects(kind).get(name);
        const object = {
            metadata: {
                name,
                revision: 0,
                created: previous?.metadata.created ?? Date.now(),
                finalizers: finalizers ?? previous?.metadata.finalizers ?? [],
                deleting: false,
            },
            spec: spec ?? previous?.spec ?? null,
            status: status ?? previous?.status ?? null,
        };
        const isSame = previous !== undefined
            && JSON.stringify([previous.spec, previous.status]) === JSON.stringify([object.spec, object.status]);
        if (isSame) {
            return previous;
        }
        this.#objects(kind).set(name, object);
        this.#record(kind, object, false);
        return object;
    }

    #record(kind, object, deleted) {
        const revision = ++this.#revision;
        if (!deleted) {
            object.metadata.revision = revision;
        }
        this.#history.push({ kind, revision, event: { deleted, object: structuredClone(object) } });
        [...this.#waiting].forEach(wake => wake());
    }

    async #serve(request, response) {
        const reply = (status, body) => {
            response.writeHead(status, { "content-type": "application/json" });
            response.end(body === undefined ? undefined : JSON.stringify(body));
        };
        try {
            const url = new URL(request.url, "http://store");
            const [, version, objects, kind, name, isStatus] = url.pathname.split("/");
            if (version !== "v1" || objects !== "objects" || kind === undefined) {
                reply(404);
                return;
            }
            const body = await readBody(request);
            if (request.method === "GET" && name === undefined) {
                await this.#read(kind, url.searchParams, reply, response);
                return;
            }
            this.#change(request.method, kind, name, { body, query: url.searchParams, isStatus }, reply);
        }
        catch {
            reply(400);
        }
    }

    async #read(kind, query, reply, response) {
        if (!query.has("watch")) {
            const after = query.get("after") ?? "";
            const names = [...this.#objects(kind).keys()].filter(name => name > after).sort();
            const items = names.slice(0, pageSize).map(name => this.#objects(kind).get(name));
            reply(200, { items, has_more: names.length > pageSize, store_revision: this.#revision });
            return;
        }
        const since = Number(query.get("watch"));
        const find = () => this.#history.filter(entry => entry.kind === kind && entry.revision > since);
        const endMs = Date.now() + Math.min(30_000, Number(query.get("wait_ms") ?? 0));
        while (find().length === 0 && Date.now() < endMs && !response.destroyed) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.#waiting.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, endMs - Date.now());
                this.#waiting.add(wake);
                response.once("close", wake);
            });
        }
        reply(200, { events: find().map(({ event }) => event), store_revision: this.#revision });
    }

    #change(method, kind, name, { body, query, isStatus }, reply) {
        const objects = this.#objects(kind);
        const target = name ?? body?.metadata?.name;
        const existing = objects.get(target);
        const expected = body?.metadata?.revision ?? query.get("revision");
        if (method === "POST") {
            existing === undefined ? reply(201, this.#put(kind, target, body)) : reply(409, existing);
        }
        else if (existing === undefined) {
            reply(404);
        }
        else if (expected !== undefined && expected !== null && Number(expected) !== existing.metadata.revision) {
            reply(409, existing);
        }
        else if (method === "PUT") {
            const change = isStatus === undefined
                ? { spec: body.spec, finalizers: body.metadata?.finalizers }
                : { status: body.status ?? body };
            reply(200, this.#put(kind, target, change));
        }
        else if (method === "DELETE") {
            this.remove(kind, target);
            reply(200, existing);
        }
        else {
            reply(200, existing);
        }
    }
}
