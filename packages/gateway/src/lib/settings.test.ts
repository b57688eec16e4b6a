import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SettingsFile } from "./settings-file.js";
import { parseGatewaySettings } from "./settings.js";

const validSettings = {
    instance: "entry-1",
    zone: "zone-a",
    callerAddress: "10.0.0.1:8405",
    directoryAddress: "10.0.0.1:8404",
    readyAddress: "10.0.0.1:8406",
    metricsAddress: "10.0.0.1:9464",
    peerAddress: "10.0.0.1:8407",
    seedPeers: ["10.0.0.2:8407"],
    storeAddress: "10.0.0.9:8408",
    directoryTtlMaxSeconds: 5,
    stopGraceSeconds: 6,
    configApplyMs: 2_000,
    refuseWhenUnconfirmed: false,
    retryShare: 0.2,
    retryBurst: 62,
    rateWindowSeconds: 5,
    rateOverage: 0.1,
    rateSlack: 20,
    floorShare: 0.7,
};

const parse = (value: unknown) => parseGatewaySettings(JSON.stringify(value), "instance.jsonc");

test("comments, trailing commas and unknown fields are accepted", () => {
    const text = `// settings\n${JSON.stringify({ ...validSettings, later: 1 }).replace(/}$/, ",}")}`;
    assert.is(parseGatewaySettings(text, "instance.jsonc").instance, "entry-1");
});

// Guards against an instance that starts with unintended settings.
for (
    const [name, value, expected] of [
        ["a missing field", { ...validSettings, zone: undefined }, /instance\.jsonc: zone: .*correct/],
        ["a mistyped field", { ...validSettings, stopGraceSeconds: "6" }, /stopGraceSeconds/],
        ["a number out of range", { ...validSettings, stopGraceSeconds: 0 }, /stopGraceSeconds/],
        ["a malformed address", { ...validSettings, callerAddress: "10.0.0.1" }, /callerAddress: use host:port/],
        ["a malformed seed address", { ...validSettings, seedPeers: ["x"] }, /seedPeers\.0/],
        ["a malformed store address", { ...validSettings, storeAddress: "store" }, /storeAddress/],
        ["a number instead of an object", 7, /\(file\)/],
    ] as const
) {
    test(`${name} is rejected with an error that names it`, () => {
        assert.throws(() => parse(value), (error: Error) => expected.test(error.message));
    });
}

test("a syntax error is reported with its line", () => {
    assert.throws(
        () => parseGatewaySettings('{\n"a": ,\n}', "f.jsonc"),
        (error: Error) => /f\.jsonc, line 2/.test(error.message),
    );
});

const createSettingsFile = (texts: readonly string[]) => {
    const events: string[] = [];
    let read = 0;
    const file = new SettingsFile({
        path: "instance.jsonc",
        text: JSON.stringify(validSettings),
        clock: new VirtualClock(),
        log: { event: (name, fields) => void events.push(`${name} ${JSON.stringify(fields)}`) },
        read: () => Promise.resolve(texts[read++]!),
    });
    return { file, events };
};

test("a changed file takes effect, and fields that need a restart are logged", async () => {
    const { file, events } = createSettingsFile([
        JSON.stringify({ ...validSettings, retryShare: 0.1, zone: "zone-b" }),
    ]);
    await file.reload();
    assert.is(file.current.retryShare, 0.1);
    assert.match(events[0] ?? "", /settings-reloaded.*retryShare.*inForceAfterRestart":"zone"/);
});

// Guards against an instance that loses its settings because of an invalid file.
test("an invalid file leaves the previous settings in force", async () => {
    const { file, events } = createSettingsFile([
        "{",
        JSON.stringify({ ...validSettings, retryShare: -1 }),
        JSON.stringify(validSettings),
    ]);
    await file.reload();
    await file.reload();
    assert.is(file.current.retryShare, 0.2);
    assert.is(events.filter(event => event.startsWith("settings-rejected")).length, 2);
    await file.reload();
    assert.is(events.length, 3);
});

test.run();
