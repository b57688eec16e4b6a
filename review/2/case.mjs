/** A new configuration with many organisations, within `value_bytes`, and what each machine then applies. */
import { hasTrouble, runCase } from "../stand-ins/case.mjs";
import { Client } from "../stand-ins/client.mjs";
import { bounds, callerLimits, delay } from "../stand-ins/fleet.mjs";

const host = "reports.example";
const service = "sightings-svc";
/** Organisations of the new configuration; 80 is the number of the users' grown sites. */
const organisationCount = hasTrouble ? 6_000 : 80;
/** How long requests are sent after the acknowledgement; the bound of the rule is `config_apply_ms`. */
const observedMs = 20_000;
const roundMs = 2_000;

const route = (name, pathPrefix) => ({
    name,
    path_prefix: pathPrefix,
    kind: "unsafe",
    timeout_ms: 2_000,
    target_latency_ms: 600,
    priority: 1,
    service,
    max_attempts: 2,
    public: false,
});

const keyOf = (organisation, index) => `${"k".repeat(12)}${String(organisation).padStart(6, "0")}${index}x`;

const organisation = (number, keyIndexes) => ({
    name: `org${String(number).padStart(5, "0")}`,
    api_keys: keyIndexes.map(index => keyOf(number, index)),
    priority: 1,
    rate_per_s: 69,
    burst: 69,
});

const configuration = (version, paths, tenants) => ({
    version,
    services: [{ name: service, health_path: "/healthz", max_conns: 390, protocol: "h1", tls: false }],
    limits: callerLimits,
    tenants,
    virtual_hosts: [{ host, paths }],
});

const first = configuration(
    5,
    [route("kept", "/kept/"), route("dropped", "/dropped/")],
    Array.from({ length: 80 }, (_item, number) => organisation(number, [0, 1])),
);
// Key 0 of organisation 0 is taken away, one route is dropped, and one is added.
const second = configuration(
    12,
    [route("kept", "/kept/"), route("added", "/added/")],
    Array.from({ length: organisationCount }, (_item, number) => organisation(number, number === 0 ? [1] : [0, 1])),
);

const probes = [
    { what: "the key that was taken away", path: "/kept/1", key: keyOf(0, 0), isOld: ({ status }) => status === 200 },
    { what: "the dropped route", path: "/dropped/1", key: keyOf(0, 1), isOld: ({ status }) => status === 200 },
    { what: "the added route", path: "/added/1", key: keyOf(0, 1), isOld: ({ status }) => status === 404 },
    {
        what: "a key of an added organisation",
        path: "/kept/2",
        key: keyOf(second.tenants.length - 1, 1),
        isOld: ({ status }) => status === 401 && second.tenants.length > first.tenants.length,
    },
];

const play = async ({ store, fleet, journal, noteAnswer }) => {
    const clients = new Map(fleet.machines.map(machine => [machine, new Client()]));
    const violations = [];
    const probeAll = async judge => {
        for (const probe of probes) {
            await Promise.all(fleet.machines.map(async machine => {
                const answer = await clients.get(machine).send({
                    address: machine.front,
                    host,
                    path: probe.path,
                    key: probe.key,
                    deadlineMs: 4_000,
                    body: Buffer.from("a found report"),
                });
                noteAnswer(answer);
                judge(machine, probe, answer);
            }));
        }
    };
    await delay(bounds.stable_window_ms + 1_000);
    await probeAll(() => {});
    const sizeBytes = store.write("config", "main", second);
    const acknowledgedMs = Date.now();
    journal.note(`the store acknowledged version ${second.version}: ${second.tenants.length} organisations, `
        + `${sizeBytes} bytes of at most 1048576`);
    await delay(bounds.config_apply_ms + 500);
    while (Date.now() - acknowledgedMs < observedMs) {
        await probeAll((machine, { what, isOld }, answer) => {
            if (isOld(answer)) {
                const sinceMs = answer.sentMs - acknowledgedMs;
                violations.push(`${machine.name}, ${sinceMs} ms after the acknowledgement, ${what}: `
                    + `${answer.status}, as only the older version allows (request ${answer.requestId})`);
            }
        });
        await delay(roundMs);
    }
    clients.forEach(client => client.close());
    return violations;
};

await runCase({
    recordPath: new URL("record.txt", import.meta.url),
    machineCount: 6,
    config: first,
    servers: [1, 2, 3].map(number => ({
        id: `i-sighting-${number}`,
        service,
        workMs: () => 50,
        bodyOf: () => Buffer.from("accepted"),
    })),
    play,
});
