import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GatewayRoute } from "../model.js";
import { testConfig, testHash, testOrganisation, testRoute } from "../testing/index.js";
import { CurrentConfig } from "./current-config.js";
import { KeyIndex } from "./key-index.js";
import { RouteIndex } from "./route-index.js";

const route = (name: string, host: string, pathPrefix: string): GatewayRoute =>
    testRoute({ id: name as GatewayRoute["id"], host, pathPrefix });

const index = new RouteIndex(testConfig({
    routes: [
        route("all", "a.example", "/"),
        route("pets", "a.example", "/pets/"),
        route("cats", "a.example", "/pets/cats/"),
        route("other", "b.example", "/pets/"),
    ],
}));

// Guards against sending a request to the service of another route.
for (
    const [host, target, expected] of [
        ["a.example", "/pets/cats/17", "cats"],
        ["a.example", "/pets/cats", "pets"],
        ["a.example", "/pets/dogs/1?next=/pets/cats/", "pets"],
        ["A.Example:8080", "/x", "all"],
        ["b.example", "/pets/1", "other"],
        ["b.example", "/", undefined],
        ["c.example", "/pets/", undefined],
        ["a.example", "*", undefined],
    ] as const
) {
    test(`route of ${host}${target}`, () => {
        assert.is(index.find(host, target)?.id, expected);
    });
}

// Guards against reverting to an older configuration that arrives late.
test("the version never decreases", () => {
    const current = new CurrentConfig(testHash);
    assert.ok(current.accept(testConfig({ version: 7 })));
    assert.not(current.accept(testConfig({ version: 5 })));
    assert.not(current.accept(testConfig({ version: 7 })));
    assert.is(current.version, 7);
});

// Guards against accepting a withdrawn key, and against keeping keys in plain text.
test("keys are found by hash only", () => {
    const keys = new KeyIndex(testConfig({ organisations: [testOrganisation()] }), testHash);
    assert.is(keys.find("key-1")?.id, "org-1");
    assert.is(keys.find("key-2"), undefined);
});

test.run();
