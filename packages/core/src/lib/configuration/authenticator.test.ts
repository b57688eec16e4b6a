import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ConfigView, FleetConfig } from "../config.js";
import { type Headers, id, type KeyId, type OrganisationId } from "../types.js";
import { Authenticator, constantTimeEqual } from "./authenticator.js";
import { configWithRevision, sha256 } from "./fixtures.js";

const paws = "paws-1.secret-of-paws-1";
const tango = "tango.eu.secret-of-tango-eu";
const bearer = (key: string): Headers => [["authorization", `Bearer ${key}`]];
const apiKey = (key: string): Headers => [["x-api-key", key]];

const setUp = (config: FleetConfig | undefined = configWithRevision(1)) => {
    const withdrawn = new Set<KeyId>();
    const state: { config: FleetConfig | undefined; } = { config };
    const view: ConfigView = {
        current: () => state.config,
        isWithdrawn: key => withdrawn.has(key),
        onChange: () => {},
    };
    return { state, withdrawn, authenticator: new Authenticator(view, sha256) };
};

const cases: readonly (readonly [headers: Headers, target: string, expected: string])[] = [
    [bearer(paws), "/pets/1", "paws paws-1"],
    [[["authorization", `bearer  ${paws}`]], "/pets/1", "paws paws-1"],
    [apiKey(tango), "/pets/1?page=2&sort=a.b", "tango tango.eu"],
    [[...apiKey(paws), ...bearer(paws)], "/", "paws paws-1"],
    [[["authorization", "Basic dXNlcjpwYXNz"], ...apiKey(paws)], "/", "paws paws-1"],
    [[...apiKey(paws), ...bearer(tango)], "/", "400 several-keys"],
    [[...apiKey(paws), ...apiKey(tango)], "/", "400 several-keys"],
    [[], "/", "401 no-key"],
    [apiKey("  "), "/", "401 no-key"],
    [[["authorization", "Bearer"]], "/", "401 no-key"],
    [[["authorization", `Basic ${paws}`]], "/", "401 no-key"],
    [bearer("no-dot"), "/", "401 malformed-key"],
    [bearer(".secret"), "/", "401 malformed-key"],
    [bearer("paws-1."), "/", "401 malformed-key"],
    [bearer(`paws-1.${"x".repeat(400)}`), "/", "401 malformed-key"],
    [bearer("other.secret-of-paws-1"), "/", "401 unknown-key"],
    [bearer("__proto__.secret-of-paws-1"), "/", "401 unknown-key"],
    [bearer("paws-1.secret-of-tango-eu"), "/", "401 wrong-secret"],
    [bearer("tango.eu.secret-of-paws-1"), "/", "401 wrong-secret"],
    [bearer("PAWS-1.secret-of-paws-1"), "/", "401 unknown-key"],
    [apiKey(paws), "/pets?api_key=1", "400 key-in-target"],
    [apiKey(paws), "/pets?X-API-Key=1", "400 key-in-target"],
    [apiKey(paws), "/pets?api%5Fkey=1", "400 key-in-target"],
    [[], `/pets?k=${paws}`, "400 key-in-target"],
    [apiKey(paws), `/pets?k=${tango}`, "400 key-in-target"],
    [apiKey(paws), `/pets/${paws}`, "400 key-in-target"],
    [apiKey(paws), `/pets?k=paws%2D1%2Esecret-of-paws-1`, "400 key-in-target"],
    [apiKey(paws), "/pets?file=paws-1.txt&bad=%zz", "paws paws-1"],
];

// Guards against a request that runs for another organisation than that of its key, and against keys in logged URLs.
test("a request gets the organisation of its key or a typed refusal", () => {
    const { authenticator } = setUp();
    for (const [headers, target, expected] of cases) {
        const result = authenticator.authenticate(headers, target);
        const seen = result.kind === "authenticated"
            ? `${result.organisation} ${result.key}`
            : `${result.status} ${result.reason}`;
        assert.is(seen, expected, `${JSON.stringify(headers)} ${target}`);
    }
});

// Guards against an upstream that receives a key, also if a caller repeats it in another field.
test("the key is removed from all header fields", () => {
    const { authenticator } = setUp();
    const result = authenticator.authenticate(
        [["accept", "a"], ["authorization", "Basic x"], ["x-api-key", paws], ["x-old-key", `v1 ${paws}`], ["te", "b"]],
        "/",
    );
    assert.is(result.kind, "authenticated");
    assert.equal((result as { headers: Headers; }).headers, [["accept", "a"], ["te", "b"]]);
});

// Guards against requests on open connections or in queues that run after their key is withdrawn, removed or moved.
test("a key is checked again before dispatch", () => {
    const { authenticator, state, withdrawn } = setUp();
    const key = id<KeyId>("paws-1");
    assert.ok(authenticator.isStillValid(key, id<OrganisationId>("paws")));
    assert.not(authenticator.isStillValid(key, id<OrganisationId>("tango")));
    withdrawn.add(key);
    assert.not(authenticator.isStillValid(key));
    const refused = authenticator.authenticate(bearer(paws), "/");
    assert.is(refused.kind === "refused" && refused.reason, "withdrawn-key");
    withdrawn.clear();
    state.config = { ...configWithRevision(2), organisations: [] };
    assert.not(authenticator.isStillValid(key));
    state.config = undefined;
    assert.not(authenticator.isStillValid(key));
    const early = authenticator.authenticate(bearer(paws), "/");
    assert.is(early.kind === "refused" && early.status, 503);
});

// Guards against a comparison that treats a prefix or a string of another length as equal.
test("the comparison accepts only equal strings", () => {
    const hash = sha256("a");
    assert.ok(constantTimeEqual(hash, sha256("a")));
    for (const other of ["", hash.slice(1), `${hash}0`, hash.replace(/.$/, "x"), sha256("b")]) {
        assert.not(constantTimeEqual(hash, other));
        assert.not(constantTimeEqual(other, hash));
    }
});

test.run();
