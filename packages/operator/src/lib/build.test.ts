import { InvalidConfigurationError } from "@sniperoad/core";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { fleet, organisation, printFleet, route, service } from "./build.js";
import { exampleKey } from "./examples/example-keys.js";
import { muscatAbrazo } from "./examples/muscat-abrazo.js";
import { pawtrace } from "./examples/pawtrace.js";
import { operationIdOf, parseFleetFile } from "./fleet-file.js";
import { hashSecret, newKey } from "./keys.js";

// Guards against invalid examples, and against printed files that differ from the configuration.
test("printed examples parse to the same configuration", () => {
    for (const example of [pawtrace, muscatAbrazo]) {
        const text = printFleet(example);
        assert.equal(JSON.parse(JSON.stringify(parseFleetFile(text, "f"))), JSON.parse(JSON.stringify(example)));
        assert.is(example.organisations.length, 8);
        assert.ok(text.split("\n").every(line => line.length < 400));
    }
    assert.not.equal(operationIdOf(pawtrace, 1), operationIdOf(pawtrace, 2));
});

// Guards against route defaults that allow a change to run twice.
test("only reads are idempotent by default", () => {
    const studio = service("studio", { slotsPerUpstream: 2, floorSlots: 2 });
    const options = { service: studio, timeoutMs: 1 };
    const methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] as const;
    assert.equal(methods.filter(method => route("a", method, "/", options).idempotent), ["GET", "HEAD"]);
});

// Guards against a builder that accepts an invalid configuration, which would then fail only when applied.
test("an invalid fleet is rejected with its field", () => {
    const unknown = service("elsewhere", { slotsPerUpstream: 1, floorSlots: 0 });
    const guest = organisation("Guest", { keys: [], ratePerSecond: 1 });
    const build = () => fleet({ organisations: [guest], services: [], routes: [] });
    assert.throws(
        build,
        (error: Error) => error instanceof InvalidConfigurationError && /^organisations\[0\]\.id: /.test(error.message),
    );
    const routes = [route("a", "GET", "/", { service: unknown, timeoutMs: 1 })];
    assert.throws(() => fleet({ organisations: [], services: [], routes }), /^routes\[0\]\.service: /);
});

// Guards against secrets that can be guessed, that are stored, or whose hash does not match what callers send.
test("a key contains only the hash of its secret", () => {
    const generated = newKey("paws-1");
    const secret = generated.key.slice("paws-1.".length);
    assert.is(generated.config.secretSha256, hashSecret(secret));
    assert.not(JSON.stringify(generated.config).includes(secret));
    assert.not.equal(newKey("paws-1").key, generated.key);
    assert.is(exampleKey("a-1"), "a-1.example-secret-of-a-1");
    for (const invalid of ["", "short", "with space in the secret", "dots.are.not.allowed.here", "x".repeat(201)]) {
        assert.throws(() => hashSecret(invalid), /16 to 200 letters/);
    }
});

test.run();
