/** HTTP stand-in for the platform's object API and instance list, with injectable faults. */
import { serve } from "@hono/node-server";
import type { InstanceListing } from "@sniperoad/core";
import { FakePlatform } from "@sniperoad/core/testing";
import { systemClock } from "@sniperoad/daemon";
import { Hono } from "hono";

/** A running platform stand-in. */
export interface PlatformStandIn {
    /** Base URL. */
    readonly url: string;
    /** State of the platform, to set faults and read objects in the same process. */
    readonly platform: FakePlatform;
    close(): Promise<void>;
}

const createApp = (platform: FakePlatform): Hono => {
    const app = new Hono();
    const port = platform.port();
    app.get("/objects/:name", async context => {
        const { name } = context.req.param();
        const after = context.req.query("after");
        const found = after === undefined
            ? await port.get(name)
            : await port.watch(name, Number(after), Number(context.req.query("timeoutMs") ?? 10_000));
        if (found === undefined) {
            return after === undefined ? context.json({ error: "no such object" }, 404) : context.body(null, 204);
        }
        return context.json(found);
    });
    app.put("/objects/:name", async context => {
        const expected = /^"(\d+)"$/.exec(context.req.header("if-match") ?? "")?.[1];
        if (expected === undefined) {
            return context.json({ error: "send If-Match with the expected version in quotes" }, 428);
        }
        const result = await port.put(context.req.param("name"), await context.req.json(), Number(expected));
        return context.json({ version: result.version }, result.kind === "stored" ? 200 : 412);
    });
    app.get("/instances", async context => context.json(await port.list()));
    app.put("/instances", async context => {
        platform.setListing(await context.req.json<InstanceListing>());
        return context.body(null, 204);
    });
    app.onError((error, context) => context.json({ error: error.message }, 503));
    return app;
};

/**
 * Starts a platform stand-in on loopback.
 *
 * @example
 * const standIn = await startPlatform(0);
 * standIn.platform.faults.isUnavailable = true;
 */
export const startPlatform = (portNumber: number): Promise<PlatformStandIn> => {
    const platform = new FakePlatform(systemClock);
    const app = createApp(platform);
    return new Promise(resolve => {
        const server = serve({ fetch: app.fetch, hostname: "127.0.0.1", port: portNumber }, info => {
            resolve({
                url: `http://127.0.0.1:${info.port}`,
                platform,
                close: () =>
                    new Promise<void>(done => {
                        server.close(() => done());
                        if ("closeAllConnections" in server) {
                            server.closeAllConnections();
                        }
                    }),
            });
        });
    });
};
