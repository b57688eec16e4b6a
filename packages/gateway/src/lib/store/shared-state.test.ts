import { id } from "@sniperoad/core";
import type { ServiceId } from "@sniperoad/core";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { testConfig, TestFleet, testOrganisation, testRoute, testUpstream } from "../testing/index.js";
import { decodeSharedConfig, decodeSharedUpstreams } from "./shared-state.js";

const startFleet = async (): Promise<TestFleet> => {
    const fleet = new TestFleet();
    fleet.store.put("config", "main", testConfig({ version: 3 }));
    fleet.store.put("upstreams", "u1", testUpstream("u1"));
    fleet.add(6);
    await fleet.clock.advance(4_000);
    return fleet;
};

// Guards against state that an instance cannot fetch since its schema lacks a field.
test("what instances export can be decoded", () => {
    const service = { id: id<ServiceId>("s1"), warmupMs: 6_000 };
    const services = [
        { ...service, warmupRequestsPerSecond: 4.7 },
        { ...service, warmupRequestsPerSecond: undefined },
    ];
    const config = testConfig({ services, organisations: [testOrganisation(), testOrganisation({ priority: 2 })] });
    assert.equal(decodeSharedConfig(structuredClone(config)), config);
    const upstreams = [testUpstream("u1"), testUpstream("u2", { state: "leaving" })];
    assert.equal(decodeSharedUpstreams(structuredClone({ upstreams })), upstreams);
});

// Guards against an instance that cannot take the state of an earlier release.
test("a configuration without services declares none", () => {
    assert.equal(decodeSharedConfig({ ...testConfig(), services: undefined }), testConfig());
});

// Guards against a configuration of another release, or part of one, that replaces a complete one for good.
for (
    const [name, value] of [
        ["no object", "text"],
        ["nothing", undefined],
        ["no routes", { ...testConfig(), routes: undefined }],
        ["a route without destinations", testConfig({ routes: [testRoute({ destinations: [] })] })],
        ["a prefix without a slash", testConfig({ routes: [testRoute({ pathPrefix: "reports" })] })],
        ["no limits", { ...testConfig(), limits: {} }],
        ["a version that is no number", { ...testConfig(), version: "9" }],
    ] as const
) {
    test(`a configuration with ${name} is rejected`, () => assert.throws(() => decodeSharedConfig(value)));
}

// Guards against an invalid list of changes that ends the process or is taken.
test("an invalid change of an upstream is not applied", async () => {
    const { instances } = await startFleet();
    const { state, upstreams } = instances[0]!;
    const before = upstreams.revision;
    state.receiveUpstreamChanges({
        kind: "upstreams",
        fromRevision: before,
        toRevision: before + 1,
        changes: [{ name: "u1", value: { id: "u1", state: "unknown" } }],
    });
    assert.is(upstreams.revision, before);
    assert.equal(upstreams.all(), [testUpstream("u1", { entryRevision: 12 })]);
});

// Guards against a configuration that counts as confirmed although the store holds an entry that cannot be read.
test("an invalid entry of the store does not confirm the held configuration", async () => {
    const fleet = await startFleet();
    fleet.store.put("config", "main", undefined);
    await fleet.clock.advance(3_000);
    const ages = fleet.instances.map(({ state }) => state.confirmedAgeMs("config")!);
    assert.ok(ages.every(ageMs => ageMs > 2_000), String(ages));
    fleet.store.put("config", "main", testConfig({ version: 4 }));
    await fleet.clock.advance(1_000);
    assert.ok(
        fleet.instances.every(({ state, config }) => config.version === 4 && state.confirmedAgeMs("config")! < 1_000),
    );
});

test.run();
