/** Client of the platform's HTTP interface. */
import {
    type Branded,
    type InstanceId,
    type InstanceListing,
    type InstanceListPort,
    type PlatformObject,
    type PlatformPort,
    PlatformUnavailableError,
    type PutResult,
    type ServiceId,
    type UpstreamId,
    type ZoneId,
} from "@sniperoad/core";
import { Agent, request } from "undici";
import * as z from "zod";

/** Options of {@link HttpPlatform}. */
export interface HttpPlatformOptions {
    /** Base URL, such as `http://10.0.0.5:7000`. */
    readonly url: string;
    /** Timeout of one call, added to the watch's own timeout in a watch; default 2,000. */
    readonly timeoutMs?: number;
}

const defaultTimeoutMs = 2_000;
/** Maximum size of a reply. The instance list at the projected size (58,700 entries) takes about 10 MB. */
const maxReplyBytes = 32_000_000;

const objectSchema = z.object({ version: z.number().int().min(1), value: z.unknown() });
const versionSchema = z.object({ version: z.number().int().min(0) });
const branded = <T extends Branded<string>>() => z.string().transform(text => text as T);
const listedState = z.enum(["live", "leaving"]);
const listingSchema = z.object({
    instances: z.array(z.object({
        id: branded<InstanceId>(),
        zone: branded<ZoneId>(),
        address: z.string(),
        peerAddress: z.string(),
        state: listedState,
    })),
    upstreams: z.array(z.object({
        id: branded<UpstreamId>(),
        service: branded<ServiceId>(),
        zone: branded<ZoneId>(),
        address: z.string(),
        state: listedState,
    })),
});

interface Reply {
    readonly status: number;
    readonly text: string;
}

/**
 * The platform's object API and instance list over HTTP. Every failure, timeout or malformed reply causes a
 * `PlatformUnavailableError`; a write may have taken effect nevertheless.
 *
 * @example
 * const platform = new HttpPlatform({ url: "http://10.0.0.5:7000" });
 * const object = await platform.get("config");
 * await platform.close();
 */
export class HttpPlatform implements PlatformPort, InstanceListPort {
    readonly #base: string;
    readonly #timeoutMs: number;
    readonly #agent = new Agent({ connect: { timeout: defaultTimeoutMs } });

    constructor(options: HttpPlatformOptions) {
        this.#base = options.url.replace(/\/+$/, "");
        this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
    }

    async get(name: string): Promise<PlatformObject | undefined> {
        const reply = await this.#send("GET", objectPath(name));
        return reply.status === 404 ? undefined : this.#parse(reply, [200], objectSchema);
    }

    async put(name: string, value: unknown, expectedVersion: number): Promise<PutResult> {
        const reply = await this.#send("PUT", objectPath(name), {
            headers: { "if-match": `"${expectedVersion}"`, "content-type": "application/json" },
            body: JSON.stringify(value),
        });
        const { version } = this.#parse(reply, [200, 412], versionSchema);
        return { kind: reply.status === 200 ? "stored" : "conflict", version };
    }

    async watch(name: string, afterVersion: number, timeoutMs: number): Promise<PlatformObject | undefined> {
        const path = `${objectPath(name)}?after=${afterVersion}&timeoutMs=${Math.ceil(timeoutMs)}`;
        const reply = await this.#send("GET", path, { additionalTimeoutMs: timeoutMs });
        return reply.status === 204 ? undefined : this.#parse(reply, [200], objectSchema);
    }

    async list(): Promise<InstanceListing> {
        const reply = await this.#send("GET", "/instances");
        return this.#parse(reply, [200], listingSchema);
    }

    /** Aborts open calls and closes all connections. */
    async close(): Promise<void> {
        await this.#agent.destroy();
    }

    async #send(
        method: "GET" | "PUT",
        path: string,
        options: { headers?: Record<string, string>; body?: string; additionalTimeoutMs?: number; } = {},
    ): Promise<Reply> {
        const timeoutMs = this.#timeoutMs + (options.additionalTimeoutMs ?? 0);
        try {
            const { statusCode, body } = await request(`${this.#base}${path}`, {
                method,
                dispatcher: this.#agent,
                headers: options.headers,
                body: options.body,
                // One timeout for the whole call, because undici's own timeouts restart with each part of a reply.
                signal: AbortSignal.timeout(timeoutMs),
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            return { status: statusCode, text: await readBoundedText(body) };
        }
        catch (error) {
            throw this.#unavailable(`${method} ${path} failed within ${timeoutMs} ms: ${errorReason(error)}`);
        }
    }

    #parse<T>(reply: Reply, statuses: readonly number[], schema: z.ZodType<T>): T {
        if (!statuses.includes(reply.status)) {
            throw this.#unavailable(`it answered with status ${reply.status}`);
        }
        try {
            return schema.parse(JSON.parse(reply.text));
        }
        catch {
            throw this.#unavailable("it sent an invalid reply");
        }
    }

    #unavailable(problem: string): Error {
        return new PlatformUnavailableError(
            `the platform at ${this.#base} is unavailable: ${problem}; check its address or retry later`,
        );
    }
}

const objectPath = (name: string): string => `/objects/${encodeURIComponent(name)}`;

const readBoundedText = async (body: AsyncIterable<Uint8Array>): Promise<string> => {
    const parts: Uint8Array[] = [];
    let sizeBytes = 0;
    for await (const part of body) {
        sizeBytes += part.length;
        if (sizeBytes > maxReplyBytes) {
            throw new RangeError(`the reply is longer than ${maxReplyBytes} bytes`);
        }
        parts.push(part);
    }
    return Buffer.concat(parts).toString("utf8");
};

const errorReason = (error: unknown): string => {
    const { code, message } = error as { code?: string; message?: string; };
    return code === undefined || typeof code !== "string" ? String(message) : code;
};
