import { test } from "uvu";
import * as assert from "uvu/assert";
import { plainProposal, proposalWithRate } from "./fixtures.js";
import { checkFleetConfig, checkFleetProposal, floorWarnings } from "./fleet-validation.js";
import { formatFieldPath } from "./problems.js";

type Plain = ReturnType<typeof plainProposal>;

const faults: readonly (readonly [field: string, modify: (plain: Plain) => unknown])[] = [
    ["(whole file)", () => undefined],
    ["(whole file)", () => null],
    ["(whole file)", () => "text"],
    ["organisations", plain => ({ ...plain, organisations: {} })],
    ["organisations", ({ seats, services, routes }) => ({ seats, services, routes })],
    ["revision", plain => ({ ...plain, revision: 3 })],
    ["colour", plain => ({ ...plain, colour: "red" })],
    ["seats", plain => ({ ...plain, seats: 0 })],
    ["seats", plain => ({ ...plain, seats: 65 })],
    ["seats", plain => ({ ...plain, seats: 1.5 })],
    ["organisations[0].id", plain => (plain.organisations[0]!.id = "Paws", plain)],
    ["organisations[1].id", plain => (plain.organisations[1]!.id = "paws", plain)],
    ["organisations[0].ratePerSecond", plain => (plain.organisations[0]!.ratePerSecond = 0, plain)],
    ["organisations[0].burst", plain => (plain.organisations[0]!.burst = 1e7, plain)],
    ["organisations[0].keys[0].secretSha256", plain => (plain.organisations[0]!.keys[0]!.secretSha256 = "x", plain)],
    ["organisations[1].keys[0].id", plain => (plain.organisations[1]!.keys[0]!.id = "paws-1", plain)],
    ["services[0].floorSlots", plain => (plain.services[0]!.floorSlots = 3001, plain)],
    ["services[0].floorSlots", plain => (plain.services[0]!.floorSlots = -1, plain)],
    ["services[1].id", plain => (plain.services.push(plain.services[0]!), plain)],
    ["routes[0].service", plain => (plain.routes[0]!.service = "unknown", plain)],
    ["routes[0].organisations[0]", plain => (plain.routes[0]!.organisations = ["nobody"], plain)],
    ["routes[0].method", plain => (plain.routes[0]!.method = "get", plain)],
    ["routes[0].timeoutMs", plain => (plain.routes[0]!.timeoutMs = 0, plain)],
    ["routes[1].id", plain => (plain.routes.push({ ...plain.routes[0]!, path: "/other" }), plain)],
    ["routes[1].path", plain => (plain.routes.push({ ...plain.routes[0]!, id: "b", path: "/pets/:name" }), plain)],
    ...["pets", "/a//b", "/a/../b", "/a/:", "/a/*/b", "/a/b*", "/a?b", "/a%20b", "/a b", "/é", "/a".repeat(65)].map(
        path => ["routes[0].path", (plain: Plain) => (plain.routes[0]!.path = path, plain)] as const,
    ),
];

// Guards against invalid configurations that reach the fleet, and against errors that do not name the field.
test("each problem names its field and a remedy", () => {
    for (const [field, modify] of faults) {
        const checked = checkFleetProposal(modify(plainProposal()));
        const problems = checked.kind === "invalid" ? checked.problems : [];
        assert.equal(problems.map(problem => formatFieldPath(problem.path)), [field], JSON.stringify(problems));
        assert.ok(problems.every(problem => problem.remedy.length > 5 && problem.problem.length > 5));
    }
});

// Guards against checks that reject what the design allows.
test("valid values pass", () => {
    assert.is(checkFleetProposal(plainProposal()).kind, "valid");
    assert.is(checkFleetConfig({ ...plainProposal(), revision: 1, operations: ["a"] }).kind, "valid");
    assert.is(checkFleetConfig(plainProposal()).kind, "invalid");
});

// Guards against a floor that prevents every ejection without a warning.
test("a floor above the listed slots causes a warning", () => {
    const proposal = proposalWithRate(1);
    const upstream = (index: number) => ({
        id: `u${index}`,
        service: "sightings",
        zone: "z1",
        address: "127.0.0.1:1",
        state: "live",
    });
    const listing = (count: number) => ({
        instances: [],
        upstreams: Array.from({ length: count }, (_, i) => upstream(i)),
    });
    assert.is(floorWarnings(proposal, listing(2) as never).length, 1);
    assert.is(floorWarnings(proposal, listing(3) as never).length, 0);
});

test.run();
