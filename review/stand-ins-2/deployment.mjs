/** A small deployment: a store with a configuration, servers, and instances of the project. */
import { runCase, seededRandom } from "./case.mjs";
import { findNetwork, Fleet } from "./fleet.mjs";
import { Server } from "./server.mjs";
import { Store } from "./store.mjs";

/** Name of the virtual host, and the key of the tenant. */
export const host = "ficu95.example";
export const key = "2b9wu3fexd9dnn2ctnfz";

const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 67_108_864,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
const services = ["sightings", "alerts"];

/** The configuration of the examples of `fleetbench wire`, with the timeouts and targets of the sheet. */
const configuration = () => {
    const route = (name, prefix, kind, timeoutMs, targetMs, priority, service) => ({
        name,
        path_prefix: prefix,
        kind,
        timeout_ms: timeoutMs,
        target_latency_ms: targetMs,
        priority,
        service,
        max_attempts: 2,
        public: false,
    });
    return {
        version: 7,
        services: services.map(name => ({
            name,
            health_path: "/healthz",
            max_conns: 390,
            protocol: "h1",
            tls: false,
        })),
        limits,
        tenants: [{ name: "huka270", api_keys: [key], priority: 1, rate_per_s: 0, burst: 0 }],
        virtual_hosts: [{
            host,
            paths: [
                route("found-report", "/pufi791/", "unsafe", 2_000, 600, 1, "sightings"),
                route("sighting-lookup", "/lohu930/", "safe", 1_500, 600, 2, "sightings"),
                route("alert-broadcast", "/wona113/", "unsafe", 1_000, 300, 0, "alerts"),
            ],
        }],
    };
};

/** Opens a deployment; what it starts ends with the case. */
export const openDeployment = async (
    { record, cleanups },
    { instances, servers, work, backAfterMs },
) => {
    const network = await findNetwork();
    const random = seededRandom(1);
    const store = new Store();
    cleanups.push(() => store.close());
    const storeAddress = await store.listen(`${network}.200`);
    store.put("config", "main", configuration());
    const opened = [];
    for (const [service, count] of Object.entries(servers)) {
        for (let index = 1; index <= count; index++) {
            const number = opened.length + 1;
            const server = new Server({
                id: `i-${service}-${index}`,
                service,
                zone: "eu-north-a",
                work,
                store,
                record,
                random,
                backAfterMs,
            });
            await server.start(`${network}.${100 + number}`, 8_080);
            cleanups.push(() => server.stop());
            opened.push(server);
        }
    }
    const fleet = new Fleet({ network, count: instances, storeAddress, record });
    cleanups.push(() => fleet.close());
    await fleet.startAll();
    return { servers: opened, fleet };
};

export { runCase };
