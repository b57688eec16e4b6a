/** Settings of an instance. */
import { isIP } from "node:net";
import * as z from "zod";

const isAddress = (text: string): boolean => {
    const { host, port } = splitAddress(text);
    return /^([\d.]+|\[[0-9a-f:.]+\]):\d{1,5}$/.test(text) && isIP(host) !== 0 && port <= 65_535;
};

const address = z.string().refine(isAddress, "use an IP address and a port, such as 10.0.0.1:8080");

/** Schema of the settings file: JSON with comments. */
export const settingsSchema = z.strictObject({
    /** Name of the instance; the process adds an incarnation to it. */
    instance: z.string().regex(/^[a-z0-9][a-z0-9-]{0,40}$/, "use 1 to 41 lower-case letters, digits or dashes"),
    zone: z.string().regex(/^[a-z0-9][a-z0-9-]{0,40}$/, "use 1 to 41 lower-case letters, digits or dashes"),
    /** Address on which the instance accepts callers. */
    callerAddress: address,
    /** Address on which the instance accepts other instances. */
    peerAddress: address,
    /** Base URL of the platform's object API. */
    platformUrl: z.url({ protocol: /^https?$/, error: "use an http or https URL" }),
    /** Peer addresses of a few other instances, for a start while the platform is unavailable. */
    seedPeers: z.array(address).max(16).default([]),
    /** Maximum size of a request body. */
    maxBodyBytes: z.number().int().min(1).max(16_777_216).default(1_048_576),
    /** How long a stopping instance still handles requests on open connections before it closes them. */
    lingerMs: z.number().int().min(0).max(60_000).default(1_000),
    /** Secret that authorizes changes by operators; without it, all changes are refused. */
    adminToken: z.string().min(16).optional(),
    /** StatsD agent that receives the metrics. */
    statsd: z.strictObject({ host: z.string().min(1), port: z.number().int().min(1).max(65_535) }).optional(),
});

/** Validated settings. */
export type Settings = z.output<typeof settingsSchema>;

/**
 * Splits `host:port`.
 *
 * @example
 * splitAddress("127.0.0.1:8080"); // { host: "127.0.0.1", port: 8080 }
 */
export const splitAddress = (text: string): { readonly host: string; readonly port: number; } => {
    const colon = text.lastIndexOf(":");
    return { host: text.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(text.slice(colon + 1)) };
};
