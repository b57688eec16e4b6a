/** Servers reset some of their answers, which have no length, on the way. */
import { hasTrouble, runCase } from "../stand-ins/case.mjs";
import { Client } from "../stand-ins/client.mjs";
import { bounds, callerLimits, delay } from "../stand-ins/fleet.mjs";

const host = "alerts.example";
const service = "alerts-svc";
const key = "2b9wu3fexd9dnn2ctnfz";
const serverCount = 12;
const clientCount = 30;
/** Mean work and deadline of `alert-broadcast`. */
const workMs = 110;
const deadlineMs = 2_000;
const answerBytes = 2_400;
/** `garble` with `unframed`, at the dose of the site's day trouble-2: half of the servers, `x = 0.05`, 5 s. */
const garblingShare = 0.5;
const brokenShare = 0.05;
const garbleMs = 5_000;
const garbleAtMs = 3_000;
const durationMs = 12_000;

const config = {
    version: 5,
    services: [{ name: service, health_path: "/healthz", max_conns: 390, protocol: "h1", tls: false }],
    limits: callerLimits,
    tenants: [{ name: "org1", api_keys: [key], priority: 1, rate_per_s: 0, burst: 0 }],
    virtual_hosts: [{
        host,
        paths: [{
            name: "alert-broadcast",
            path_prefix: "/alert/",
            kind: "unsafe",
            timeout_ms: deadlineMs,
            target_latency_ms: 300,
            priority: 0,
            service,
            max_attempts: 2,
            public: false,
        }],
    }],
};

const garble = { isOn: false };

const play = async ({ fleet, upstreams, journal, noteAnswer }) => {
    await delay(bounds.stable_window_ms);
    const answers = [];
    const endMs = Date.now() + durationMs;
    const runClient = async () => {
        const client = new Client();
        while (Date.now() < endMs) {
            const address = fleet.machines[Math.floor(Math.random() * fleet.machines.length)].front;
            const body = Buffer.from("an alert");
            const answer = await client.send({ address, host, path: "/alert/1", key, deadlineMs, body });
            answers.push(answer);
            noteAnswer(answer);
        }
        client.close();
    };
    const clients = Promise.all(Array.from({ length: clientCount }, runClient));
    await delay(garbleAtMs);
    garble.isOn = hasTrouble;
    journal.note(`some servers reset answers on the way: ${hasTrouble ? "yes" : "no"}`);
    await delay(garbleMs);
    garble.isOn = false;
    await clients;
    const runsById = new Map(upstreams.flatMap(({ runs }) => runs).map(run => [run.requestId, run]));
    const broken = [...runsById.values()].filter(({ state }) => state.startsWith("broken off"));
    journal.note(`requests: ${answers.length}; answers that servers reset on the way: ${broken.length}`);
    return answers
        .filter(({ status, isComplete, sizeBytes }) => status === 200 && isComplete && sizeBytes !== answerBytes)
        .map(({ requestId, sizeBytes }) => {
            const { server, state } = runsById.get(requestId);
            return `${requestId}: the client has a 200 that looks complete, with ${sizeBytes} of ${answerBytes} bytes; `
                + `at ${server} it was ${state}`;
        });
};

await runCase({
    recordPath: new URL("record.txt", import.meta.url),
    machineCount: 3,
    config,
    servers: Array.from({ length: serverCount }, (_item, number) => ({
        id: `i-alerts-${number + 1}`,
        service,
        workMs: () => workMs,
        bodyOf: () => Buffer.alloc(answerBytes, "a"),
        isUnframed: true,
        mustBreakOff: () => garble.isOn && number < serverCount * garblingShare && Math.random() < brokenShare,
    })),
    play,
});
