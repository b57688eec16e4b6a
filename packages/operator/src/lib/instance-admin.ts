/** Requests to the administration interface of an instance. */
import { request } from "undici";
import type { z } from "zod";

/** Options of {@link sendAdminRequest}. */
export interface AdminRequestOptions {
    readonly timeoutMs: number;
    /** Request body, sent as JSON. */
    readonly body?: unknown;
    /** The instance's `adminToken`, required for requests that change something. */
    readonly token?: string | undefined;
    /** Status codes with which the response body is validated and returned; default: 200. */
    readonly statuses?: readonly number[];
}

const defaultStatuses = [200];

/**
 * Sends one request to an instance and validates its response.
 *
 * @throws Error with a short reason that fits into one line of a report.
 */
export const sendAdminRequest = async <T>(
    address: string,
    method: "GET" | "POST",
    path: string,
    schema: z.ZodType<T>,
    options: AdminRequestOptions,
): Promise<T> => {
    const { statusCode, text } = await send(address, method, path, options);
    if (statusCode === 401) {
        throw new Error(
            options.token === undefined
                ? "asks for its adminToken; give it with --token or SNIPEROAD_ADMIN_TOKEN"
                : "did not accept the token; give the adminToken of its settings, which must be set there",
        );
    }
    if (!(options.statuses ?? defaultStatuses).includes(statusCode)) {
        throw new Error(`answered ${method} ${path} with status ${statusCode}`);
    }
    try {
        return schema.parse(JSON.parse(text));
    }
    catch (error) {
        throw new Error(`answered ${method} ${path} in an unknown form; check that its version fits`, { cause: error });
    }
};

const send = async (
    address: string,
    method: "GET" | "POST",
    path: string,
    { timeoutMs, body, token }: AdminRequestOptions,
): Promise<{ readonly statusCode: number; readonly text: string; }> => {
    try {
        const reply = await request(`http://${address}${path}`, {
            method,
            signal: AbortSignal.timeout(timeoutMs),
            headers: {
                ...(body === undefined ? {} : { "content-type": "application/json" }),
                ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
            },
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        });
        return { statusCode: reply.statusCode, text: await reply.body.text() };
    }
    catch (error) {
        const { code, name } = error as { code?: unknown; name?: string; };
        const reason = name === "TimeoutError"
            ? `no response within ${timeoutMs} ms`
            : `no connection (${String(code)})`;
        throw new Error(reason, { cause: error });
    }
};
