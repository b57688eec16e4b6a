import { createServer } from "node:http";
import type { IncomingMessage, Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CallerClient, CallerError } from "./caller-client.js";
import type { CallerClientOptions, CallerRequest } from "./caller-client.js";

/** Response of a fake instance to a caller's request. */
interface Reply {
    readonly status: number;
    readonly outcome?: string;
    /** Last part of the problem's type; absent in a response of an upstream. */
    readonly problem?: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** The connection is reset instead. */
    readonly isReset?: boolean;
}

const good: Reply = { status: 200, outcome: "ran" };
const refused = (status: number, outcome: string, problem: string): Reply => ({ status, outcome, problem });

const closers: (() => Promise<void>)[] = [];
// A failed assertion must not leave a server open: the process would never end.
test.after.each(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

/** Starts fake instances; `reply` is called for each request, with its index over all instances. */
const open = async (count: number, reply: (index: number, address: string) => Reply, more: {
    readonly keepMs?: number;
    readonly time?: Date;
    readonly client?: Partial<CallerClientOptions>;
} = {}) => {
    const requests: { readonly address: string; readonly headers: IncomingMessage["headers"]; }[] = [];
    const counts = { directory: 0, connections: 0 };
    const addresses: string[] = [];
    const servers = await Promise.all(Array.from({ length: count }, () =>
        new Promise<Server>(resolve => {
            const server = createServer((request, response) => {
                const address = `127.0.0.1:${(request.socket.address() as AddressInfo).port}`;
                if (request.url!.startsWith("/directory")) {
                    counts.directory++;
                    const time = (more.time ?? new Date()).toISOString();
                    response.end(JSON.stringify({ addresses, keepMs: more.keepMs ?? 600_000, time }));
                    return;
                }
                requests.push({ address, headers: request.headers });
                const { status, outcome, problem, headers, isReset } = reply(requests.length - 1, address);
                if (isReset === true) {
                    request.socket.resetAndDestroy();
                    return;
                }
                response.writeHead(status, {
                    ...headers,
                    ...(outcome === undefined ? {} : { "sniperoad-outcome": outcome }),
                    ...(problem === undefined ? {} : { "content-type": "application/problem+json" }),
                });
                response.end(JSON.stringify({ type: `https://x/problems/${problem}`, retryAfterMs: 1 }));
            });
            server.on("connection", (_socket: Socket) => counts.connections++);
            server.listen(0, "127.0.0.1", () => resolve(server));
        })));
    addresses.push(...servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`));
    const client = new CallerClient({ seeds: addresses.slice(0, 1), key: "k.s", ...more.client });
    closers.push(async () => {
        await client.close();
        servers.forEach(server => {
            server.close();
            server.closeAllConnections();
        });
    });
    return { client, requests, counts, addresses };
};

const get: CallerRequest = { method: "GET", path: "/x" };
const post: CallerRequest = { method: "POST", path: "/x", body: "{}" };
const keyed: CallerRequest = { ...post, idempotencyKey: "0193-key" };
const reset: Reply = { status: 0, isReset: true };

// Guards against querying the directory for each request, and against sending all requests to one instance.
test("the directory is cached and requests are distributed", async () => {
    const { client, requests, counts, addresses } = await open(4, () => good);
    for (let index = 0; index < 100; index++) {
        await client.call(get);
    }
    assert.is(counts.directory, 1);
    assert.equal(new Set(requests.map(({ address }) => address)), new Set(addresses));
});

// Guards against using an expired directory response.
test("the directory is queried again after keepMs", async () => {
    const { client, counts } = await open(1, () => good, { keepMs: 0 });
    await client.call(get);
    await client.call(get);
    assert.is(counts.directory, 2);
});

// Guards against sending more requests to an instance that is leaving.
test("later requests avoid an instance that sent Connection: close", async () => {
    let leaving = "";
    const { client, requests } = await open(3, (index, address) => {
        leaving = index === 0 ? address : leaving;
        return address === leaving ? { ...good, headers: { connection: "close" } } : good;
    });
    for (let index = 0; index < 30; index++) {
        assert.is((await client.call(get)).status, 200);
    }
    assert.is(requests.filter(({ address }) => address === leaving).length, 1);
});

const retryCases: readonly (readonly [name: string, call: CallerRequest, first: Reply, attempts: number])[] = [
    ["answer", get, good, 1],
    ["not current", get, refused(503, "not-run", "not-current"), 2],
    ["over rate", get, refused(429, "not-run", "over-rate"), 2],
    ["failed lookup", get, refused(502, "unknown", "upstream-failed"), 2],
    ["not run, no key", post, refused(503, "not-run", "no-upstream"), 2],
    ["unknown, no key", post, refused(502, "unknown", "upstream-failed"), 1],
    ["unknown, key", keyed, refused(502, "unknown", "upstream-failed"), 2],
    ["in progress, key", keyed, refused(409, "unknown", "request-in-progress"), 2],
    ["outcome unknown, key", keyed, refused(409, "unknown", "outcome-unknown"), 1],
    ["ran", keyed, refused(409, "ran", "answer-not-kept"), 1],
    ["key withdrawn", get, refused(401, "not-run", "key-wrong"), 1],
    ["key reused", keyed, refused(422, "not-run", "idempotency-key-reused"), 1],
    ["an upstream's own 503", get, { status: 503, outcome: "ran" }, 1],
    ["reset, lookup", get, reset, 2],
    ["reset, key", keyed, reset, 2],
];

// Guards against retries that may run a request twice, and against missing retries where they are safe.
test("the outcome determines whether a request is retried", async () => {
    for (const [name, call, first, attempts] of retryCases) {
        const { client, requests } = await open(2, index => index === 0 ? first : good);
        const result = await client.call(call);
        assert.is(requests.length, attempts, name);
        assert.is(result.attempts, attempts, name);
        assert.is(result.status, attempts === 2 ? 200 : first.status, name);
    }
});

// Guards against running a request without a key twice: after a lost connection its outcome is unknown.
test("a lost request without a key is not retried", async () => {
    const { client, requests } = await open(2, index => index === 0 ? reset : good);
    let message = "";
    await client.call(post).catch((error: unknown) => {
        assert.instance(error, CallerError);
        message = (error as Error).message;
    });
    assert.is(requests.length, 1);
    assert.match(message, /outcome unknown/);
});

// Guards against retries with a new key, and against wrongly declaring that no earlier attempt was sent.
test("retries keep the key and declare the first attempt correctly", async () => {
    const replies = [refused(503, "not-run", "not-current"), refused(502, "unknown", "upstream-failed")];
    const { client, requests } = await open(3, index => replies[index] ?? good);
    await client.call(keyed);
    assert.equal(requests.map(({ headers }) => headers["idempotency-key"]), Array(3).fill(keyed.idempotencyKey));
    const declared = requests.map(({ headers }) => headers["sniperoad-attempt"] === "1");
    // The first was not run, so the second is still the first that may run.
    assert.equal(declared, [true, true, false]);
    assert.ok(requests.every(({ headers }) => Number(headers["sniperoad-deadline-ms"]) > 0));
});

// Guards against creating keys from a caller's wrong clock, which the fleet refuses.
test("new keys contain the fleet's time", async () => {
    const time = new Date("2031-05-06T07:08:09Z");
    const now = { now: () => new Date(0), monotonicMs: () => 0, after: () => ({ cancel: () => {} }) };
    const { client } = await open(1, () => good, { time, client: { clock: now } });
    await client.call(get);
    assert.is(Number.parseInt(client.newKey().replace("-", "").slice(0, 12), 16), time.getTime());
});

// Guards against waiting forever, or ending without an error, when no instance responds.
test("a call without any response ends with CallerError", async () => {
    const { client } = await open(1, () => reset, { client: { timeoutMs: 100 } });
    const error: unknown = await client.call(get).catch((caught: unknown) => caught);
    assert.instance(error, CallerError);
});

test.run();
