/** An instance gets SIGTERM while a client waits for the answers to requests that it sent one behind the other. */
import { randomBytes } from "node:crypto";
import { connect } from "node:net";
import { delay } from "../stand-ins-2/case.mjs";
import { host, key, openDeployment, runCase } from "../stand-ins-2/deployment.mjs";

const clientCount = 4;
const requestsPerClient = 3;
const workMs = 600;
const deadlineMs = 3_000;
const termAfterMs = 200;

/** Sends safe requests without waiting for answers; resolves with those that were answered in whole. */
const sendPipelined = (address, client, record) =>
    new Promise(resolve => {
        const [hostname, port] = address.split(":");
        const ids = Array.from({ length: requestsPerClient }, () => randomBytes(8).toString("hex"));
        const socket = connect(Number(port), hostname);
        let received = "";
        const answered = [];
        const end = reason => {
            clearTimeout(timer);
            socket.destroy();
            record("connection-ended", { client, reason, answered: answered.length });
            resolve({ ids, answered });
        };
        const timer = setTimeout(() => end("the deadline of the client"), deadlineMs + 500);
        socket.on("data", data => {
            received += data.toString("latin1");
            for (;;) {
                const headEnd = received.indexOf("\r\n\r\n");
                const length = /content-length: (\d+)/i.exec(received.slice(0, headEnd));
                if (headEnd < 0 || received.length < headEnd + 4 + Number(length?.[1] ?? 0)) {
                    break;
                }
                const head = received.slice(0, headEnd);
                const id = /request-id: (\w+)/i.exec(head)?.[1];
                answered.push(id);
                const closes = /connection: close/i.test(head);
                record("answered", { request: id, client, status: Number(head.slice(9, 12)), closes });
                received = received.slice(headEnd + 4 + Number(length?.[1] ?? 0));
            }
            if (answered.length === ids.length) {
                end("all were answered");
            }
        });
        socket.on("end", () => end("the instance closed it"));
        socket.on("error", error => end(error.code));
        ids.forEach(id => record("sent", { request: id, client, at: address }));
        socket.write(
            ids.map(id =>
                [
                    `GET /lohu930/${id} HTTP/1.1`,
                    `Host: ${host}`,
                    `Request-Id: ${id}`,
                    `Deadline-Ms: ${deadlineMs}`,
                    `Credential: ${key}`,
                    "",
                    "",
                ].join("\r\n")
            ).join(""),
        );
    });

await runCase(import.meta.url, async context => {
    const { isTroubled } = context;
    const runs = new Set();
    const record = (event, fields) => {
        context.record(event, fields);
        if (event === "run") {
            runs.add(fields.request);
        }
    };
    const { fleet } = await openDeployment({ ...context, record }, {
        instances: 3,
        servers: { sightings: 12, alerts: 2 },
        work: ({ requestId }) => workMs + 20 * (parseInt(requestId.slice(-1), 16) % 3),
    });
    await delay(3_500);
    const clients = Array.from(
        { length: clientCount },
        (_item, client) => sendPipelined(fleet.addressOf(2), client, record),
    );
    await delay(termAfterMs);
    if (isTroubled) {
        fleet.signal(2, "SIGTERM");
    }
    const results = await Promise.all(clients);
    const lost = results.flatMap(({ ids, answered }) => ids.filter(id => !answered.includes(id) && runs.has(id)));
    return {
        isBroken: lost.length > 0,
        summary: [
            `${clientCount * requestsPerClient} requests were read by an instance`,
            `${results.flatMap(({ answered }) => answered).length} were answered`,
            `${lost.length} were passed on to a server, and their connection ended without an answer`,
        ],
    };
});
