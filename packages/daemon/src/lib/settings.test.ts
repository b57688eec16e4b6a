import { InvalidConfigurationError } from "@sniperoad/core";
import { bySchema, parseSettings } from "@sniperoad/operator";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { settingsSchema, splitAddress } from "./settings.js";

const validText = `{
    // one instance
    "instance": "entry-1",
    "zone": "z1",
    "callerAddress": "127.0.0.1:8080",
    "peerAddress": "[::1]:7000",
    "platformUrl": "http://127.0.0.1:9000",
}`;
const read = (text: string) => parseSettings(text, "f", bySchema(settingsSchema));

const faults: readonly (readonly [from: string, to: string, expected: RegExp])[] = [
    ['"entry-1"', '"Entry 1"', /^f:3: instance: .*; use 1 to 41 lower-case/],
    ['"entry-1",', '"entry-1"', /^f:4: .*; put a comma/],
    ['"z1"', "1", /^f:4: zone: .*wrong type.*; .*string/],
    ["127.0.0.1:8080", "localhost:8080", /^f:5: callerAddress: .*; use an IP address and a port/],
    ["127.0.0.1:8080", "127.0.0.1", /^f:5: callerAddress: .*; use an IP address and a port/],
    ["127.0.0.1:8080", "999.0.0.1:8080", /^f:5: callerAddress: .*; use an IP address and a port/],
    ["127.0.0.1:8080", "127.0.0.1:99999", /^f:5: callerAddress: .*; use an IP address and a port/],
    ["http://127", "ftp://127", /^f:7: platformUrl: .*; use an http or https URL/],
    ['"peerAddress"', '"peerAdress"', /f:6: peerAdress: the field is unknown; /],
    ['"peerAddress": "[::1]:7000",', "", /^f:1: peerAddress: the field is missing; /],
    ["{\n", '{ "maxBodyBytes": 0,\n', /^f:1: maxBodyBytes: .*; use at least 1/],
    ["{\n", '{ "lingerMs": 60001,\n', /^f:1: lingerMs: .*; use at most 60000/],
    ["{\n", '{ "adminToken": "short",\n', /^f:1: adminToken: .*; use at least 16/],
    ["{\n", '{ "statsd": { "host": "h", "port": 0 },\n', /^f:1: statsd\.port: .*; use at least 1/],
];

// Guards against errors that do not say where the fault is or how to correct it.
test("errors name the file, line, field and remedy", () => {
    for (const [from, to, expected] of faults) {
        assert.throws(
            () => read(validText.replace(from, to)),
            (error: unknown) => {
                assert.instance(error, InvalidConfigurationError);
                assert.match((error as Error).message, expected);
                return true;
            },
            `${from} -> ${to}`,
        );
    }
});

// Guards against wrong defaults and addresses.
test("defaults are applied to a valid file", () => {
    const settings = read(validText);
    assert.is(settings.maxBodyBytes, 1_048_576);
    assert.equal(splitAddress(settings.callerAddress), { host: "127.0.0.1", port: 8080 });
    assert.equal(splitAddress(settings.peerAddress), { host: "::1", port: 7000 });
});

test.run();
