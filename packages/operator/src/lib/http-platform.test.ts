import { id, type KeyId, PlatformUnavailableError } from "@sniperoad/core";
import type { ServerResponse } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { HttpPlatform } from "./http-platform.js";
import { FakeHttpPlatform } from "./testing/fake-http-platform.js";
import { withdrawOnPlatform } from "./withdraw.js";

const fakePlatform = new FakeHttpPlatform();
let platform: HttpPlatform;

test.before(async () => {
    platform = new HttpPlatform({ url: await fakePlatform.start(), timeoutMs: 300 });
});
test.before.each(() => {
    fakePlatform.objects.clear();
    fakePlatform.failWith = undefined;
    fakePlatform.lostReplies = 0;
});
test.after(async () => {
    await platform.close();
    await fakePlatform.stop();
});

const failureOf = (work: Promise<unknown>): Promise<unknown> => work.then(() => undefined, error => error as unknown);

// Guards against an adapter that confuses missing objects, conflicts and success.
test("objects are read, written conditionally and watched", async () => {
    assert.is(await platform.get("config"), undefined);
    assert.equal(await platform.put("config", { a: 1 }, 0), { kind: "stored", version: 1 });
    assert.equal(await platform.put("config", { a: 2 }, 0), { kind: "conflict", version: 1 });
    assert.equal(await platform.get("config"), { version: 1, value: { a: 1 } });
    assert.is(await platform.watch("config", 1, 20), undefined);
    const watch = platform.watch("config", 1, 5_000);
    await platform.put("config", { a: 3 }, 1);
    assert.equal(await watch, { version: 2, value: { a: 3 } });
    assert.equal(await platform.list(), { instances: [], upstreams: [] });
});

// Guards against platform failures that hang or that cause a different error.
test("every failure causes PlatformUnavailableError", async () => {
    const failures: readonly ((response: ServerResponse) => unknown)[] = [
        response => response.writeHead(500).end("{}"),
        response => response.writeHead(200).end("not json"),
        response => response.writeHead(200).end('{"version":"1"}'),
        response => response.writeHead(302, { location: "/" }).end(),
        response => response.destroy(),
        response => response.writeHead(200, { "content-length": "99" }).write("{"),
        () => undefined,
    ];
    for (const fail of failures) {
        fakePlatform.failWith = response => void fail(response);
        const calls = [platform.get("a"), platform.put("a", 1, 0), platform.watch("a", 0, 10), platform.list()];
        for (const error of await Promise.all(calls.map(failureOf))) {
            assert.instance(error, PlatformUnavailableError);
            assert.match((error as Error).message, /is unavailable: .*; check its address or retry later/);
        }
    }
    const unreachable = new HttpPlatform({ url: "http://127.0.0.1:1", timeoutMs: 300 });
    assert.instance(await failureOf(unreachable.get("a")), PlatformUnavailableError);
    await unreachable.close();
});

// Guards against withdrawals that are lost through concurrent writers or lost replies.
test("concurrent withdrawals are merged", async () => {
    fakePlatform.lostReplies = 1;
    await Promise.all(["a", "b", "c"].map(text => withdrawOnPlatform(platform, id<KeyId>(text))));
    assert.equal(fakePlatform.objects.get("withdrawals")?.value, { keys: ["a", "b", "c"] });
    assert.is(await withdrawOnPlatform(platform, id<KeyId>("a")), 3);
});

test.run();
