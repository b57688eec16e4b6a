// A client that sends one request on a connection of its own, or on kept ones with an agent.
import { request as httpRequest } from "node:http";

export const send = ({ address, method = "GET", host, path, id, deadlineMs, key, body, agent = false }) =>
    new Promise(resolve => {
        const [hostname, port] = address.split(":");
        const startMs = performance.now();
        const settle = result => {
            clearTimeout(timer);
            resolve({ tookMs: Math.round(performance.now() - startMs), ...result });
        };
        const headers = {
            host, "request-id": id, "deadline-ms": String(deadlineMs),
            ...(key === undefined ? {} : { credential: key }),
            ...(body === undefined ? {} : { "content-length": Buffer.byteLength(body) }),
        };
        const outgoing = httpRequest({ hostname, port, method, path, headers, agent }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("error", error => settle({ status: undefined, error: error.message }));
            response.on("end", () => settle({
                status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString(),
                isComplete: response.complete,
            }));
        });
        outgoing.on("error", error => settle({ status: undefined, error: error.code ?? error.message }));
        const timer = setTimeout(() => {
            settle({ status: undefined, error: "deadline" });
            outgoing.destroy();
        }, deadlineMs + 200);
        outgoing.end(body);
    });
