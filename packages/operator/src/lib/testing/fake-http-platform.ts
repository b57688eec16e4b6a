/** An in-memory HTTP server with the platform's interface, for tests. */
import type { InstanceListing, PlatformObject } from "@sniperoad/core";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Serves objects and the instance list from memory on a loopback port. */
export class FakeHttpPlatform {
    readonly objects = new Map<string, PlatformObject>();
    listing: InstanceListing = { instances: [], upstreams: [] };
    /** Number of next writes that take effect although their replies are lost. */
    lostReplies = 0;
    /** If set, handles each request instead of the platform. */
    failWith: ((response: ServerResponse) => void) | undefined;
    readonly #watchers = new Set<() => void>();
    readonly #server: Server = createServer((request, response) => void this.#serve(request, response));

    /** Starts the server and returns its base URL. */
    async start(): Promise<string> {
        await new Promise<void>(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    async stop(): Promise<void> {
        this.#server.closeAllConnections();
        await new Promise(resolve => this.#server.close(resolve));
    }

    async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const parts: Buffer[] = [];
        for await (const part of request) {
            parts.push(part as Buffer);
        }
        const url = new URL(request.url!, "http://platform");
        const name = url.pathname.replace(/^\/objects\//, "");
        const reply = (status: number, value?: unknown) => response.writeHead(status).end(JSON.stringify(value) ?? "");
        if (this.failWith !== undefined) {
            return this.failWith(response);
        }
        if (url.pathname === "/instances") {
            reply(200, this.listing);
        }
        else if (request.method === "PUT") {
            const stored = this.#put(name, JSON.parse(Buffer.concat(parts).toString()), request.headers["if-match"]!);
            if (stored && this.lostReplies > 0) {
                this.lostReplies--;
                return void response.destroy();
            }
            reply(stored ? 200 : 412, { version: this.objects.get(name)?.version ?? 0 });
        }
        else if (url.searchParams.has("after")) {
            const found = await this.#watch(name, url.searchParams);
            reply(found === undefined ? 204 : 200, found);
        }
        else {
            const found = this.objects.get(name);
            reply(found === undefined ? 404 : 200, found ?? {});
        }
    }

    #put(name: string, value: unknown, ifMatch: string): boolean {
        const version = this.objects.get(name)?.version ?? 0;
        if (ifMatch !== `"${version}"`) {
            return false;
        }
        this.objects.set(name, { version: version + 1, value });
        this.#watchers.forEach(wake => wake());
        return true;
    }

    async #watch(name: string, query: URLSearchParams): Promise<PlatformObject | undefined> {
        const isNew = () => (this.objects.get(name)?.version ?? 0) > Number(query.get("after"));
        if (!isNew()) {
            await new Promise<void>(resolve => {
                const wake = () => {
                    this.#watchers.delete(wake);
                    clearTimeout(timer);
                    resolve();
                };
                const timer = setTimeout(wake, Number(query.get("timeoutMs")));
                this.#watchers.add(wake);
            });
        }
        return isNew() ? this.objects.get(name) : undefined;
    }
}
