/** Client of the system, as PROTOCOL.md describes it. */
import { randomBytes } from "node:crypto";
import { Agent, request as httpRequest } from "node:http";

/** Sends one request and resolves with how it ended: a status, or "closed" without a complete answer. */
export const send = ({ address, host, method, path, key, deadlineMs, body = "", record, label }) =>
    new Promise(resolve => {
        const id = randomBytes(8).toString("hex");
        const [hostname, port] = address.split(":");
        const sentMs = performance.now();
        const end = result => {
            clearTimeout(timer);
            const tookMs = Math.round(performance.now() - sentMs);
            record("answered", { request: id, label, at: address, ...result, tookMs });
            resolve({ id, ...result, tookMs, sentMs });
        };
        const headers = {
            host,
            "request-id": id,
            "deadline-ms": String(deadlineMs),
            "content-length": String(Buffer.byteLength(body)),
            ...(key === undefined ? {} : { credential: key }),
        };
        record("sent", { request: id, label, method, path, at: address, deadlineMs });
        const request = httpRequest(
            { hostname, port, method, path, headers, agent: new Agent({ keepAlive: false }) },
            response => {
                const chunks = [];
                response.on("data", chunk => chunks.push(chunk));
                response.on("error", error => end({ status: "closed", reason: error.message }));
                response.on("end", () =>
                    end({
                        status: response.statusCode,
                        seal: response.headers["server-seal"],
                        answers: response.headers["request-id"],
                        retryAfter: response.headers["retry-after"],
                        body: Buffer.concat(chunks).toString().slice(0, 200),
                    }));
            },
        );
        request.on("error", error => end({ status: "closed", reason: error.message }));
        const timer = setTimeout(() => {
            request.destroy(new Error("the client gave up at its deadline"));
        }, deadlineMs + 500);
        request.end(body);
    });
