/** HTTP servers for the directory, the readiness check and the metrics. */
import { serve } from "@hono/node-server";
import { splitAddress } from "@sniperoad/daemon";
import { Hono } from "hono";
import type { Server } from "node:http";

/** A path and its handler. */
export interface AuxiliaryRoute {
    readonly path: string;
    readonly answer: (query: URLSearchParams) => Response | Promise<Response>;
}

/** A listening server. */
export interface AuxiliaryServer {
    close(): void;
}

/**
 * Opens an HTTP server for the `GET` requests of some paths.
 *
 * @throws Error when the address is in use
 * @example
 * const server = await openAuxiliaryServer("10.0.0.5:8081", [{ path: "/ready", answer: () => new Response("ok") }]);
 */
export const openAuxiliaryServer = (address: string, routes: readonly AuxiliaryRoute[]): Promise<AuxiliaryServer> => {
    const app = new Hono();
    routes.forEach(({ path, answer }) => app.get(path, c => answer(new URL(c.req.url).searchParams)));
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
        const server = serve({ fetch: app.fetch, hostname: host, port, overrideGlobalObjects: false }, () =>
            resolve({
                close: () => {
                    server.close();
                    (server as Server).closeAllConnections();
                },
            }));
        server.once("error", reject);
    });
};
