import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FleetConfig } from "../config.js";
import { InvalidConfigurationError, PlatformUnavailableError } from "../errors.js";
import type { PlatformPort } from "../ports.js";
import { applyChange, utf8ByteLength } from "./apply.js";
import { proposalWithRate, TestFleet } from "./fixtures.js";
import { describeDifference, planChange } from "./plan.js";

const setUp = async () => {
    const fleet = new TestFleet();
    const port = fleet.platform.port();
    const apply = (rate: number, baseVersion: number, operation: string, through: PlatformPort = port) =>
        fleet.finish(applyChange(through, { proposal: proposalWithRate(rate), baseVersion, operation }));
    const storedConfig = () => fleet.platform.peek("config")!.value as FleetConfig;
    assert.equal(await apply(1, 0, "first"), { kind: "applied", revision: 1, isRepeat: false });
    return { fleet, port, apply, storedConfig };
};

const rejection = async (work: Promise<unknown>): Promise<unknown> => {
    try {
        return assert.unreachable(JSON.stringify(await work));
    }
    catch (error) {
        return error;
    }
};

// Guards against a plan that omits a difference, and against a revision that does not rise by one.
test("a plan shows the differences and applying it raises the revision by one", async () => {
    const { fleet, port, apply, storedConfig } = await setUp();
    const plan = await fleet.finish(planChange(port, { ...proposalWithRate(2), seats: 5, routes: [] }));
    assert.is(plan.baseVersion, 1);
    assert.equal(plan.differences.map(describeDifference), [
        "~ seats: 3 -> 5",
        "~ organisation paws: ratePerSecond: 1 -> 2",
        '- route lookup (was method="GET" path="/pets/:pet" service="sightings" idempotent=true timeoutMs=1000 '
        + 'organisations=["paws"])',
    ]);
    assert.equal(await apply(2, 1, "second"), { kind: "applied", revision: 2, isRepeat: false });
    assert.equal(storedConfig().operations, ["first", "second"]);
    assert.equal(await apply(2, 2, "third"), { kind: "unchanged", revision: 2 });
});

// Guards against a change that is applied twice, or reported as failed, after its reply was lost.
test("a change whose reply was lost is recognised, immediately or by a later repeat", async () => {
    const { fleet, apply, storedConfig } = await setUp();
    fleet.platform.faults.lostReplies = 1;
    assert.equal(await apply(2, 1, "second"), { kind: "applied", revision: 2, isRepeat: false });
    await apply(3, 2, "third");
    assert.equal(await apply(2, 1, "second"), { kind: "applied", revision: 2, isRepeat: true });
    assert.is(storedConfig().revision, 3);
});

// Guards against an outage that is reported as a definite failure although the write may have taken effect.
test("the error of an outage names the options for a retry", async () => {
    const { fleet, apply, storedConfig } = await setUp();
    fleet.platform.faults.isUnavailable = true;
    const error = await rejection(apply(2, 1, "second"));
    assert.instance(error, PlatformUnavailableError);
    assert.match((error as Error).message, /--base-version 1 --operation second/);
    fleet.platform.faults.isUnavailable = false;
    assert.equal(await apply(2, 1, "second"), { kind: "applied", revision: 2, isRepeat: false });
    assert.is(storedConfig().revision, 2);
});

// Guards against a change that is lost without an error when operators apply concurrently.
test("of concurrent changes exactly one is applied and the others get a conflict", async () => {
    const { fleet, port, storedConfig } = await setUp();
    fleet.platform.faults.lostReplies = 2;
    const results = await fleet.finish(
        Promise.all(
            Array.from(
                { length: 8 },
                (_, index) =>
                    applyChange(port, {
                        proposal: proposalWithRate(index + 10),
                        baseVersion: 1,
                        operation: `o${index}`,
                    }),
            ),
        ),
    );
    const winners = results.flatMap((result, index) => result.kind === "applied" ? [index] : []);
    assert.is(winners.length, 1);
    assert.equal(storedConfig(), {
        revision: 2,
        operations: ["first", `o${winners[0]}`],
        ...proposalWithRate(winners[0]! + 10),
    });
    const others = results.filter(result => result.kind !== "applied");
    assert.ok(
        others.every(result => result.kind === "conflict" && result.version === 2 && /plan again/.test(result.remedy)),
    );
});

// Guards against an operation id that hides a second, different change.
test("an operation id cannot be reused for another change", async () => {
    const { apply } = await setUp();
    assert.instance(await rejection(apply(9, 1, "first")), InvalidConfigurationError);
    assert.instance(await rejection(apply(9, 1, "")), InvalidConfigurationError);
});

// Guards against key ids that change their organisation or secret, which waiting requests would not notice.
test("a key id keeps its organisation and secret, and a withdrawn one cannot return", async () => {
    const { fleet, port } = await setUp();
    const rejected = async (change: (proposal: ReturnType<typeof proposalWithRate>) => void) => {
        const proposal = proposalWithRate(2);
        change(proposal);
        const plan = await fleet.finish(planChange(port, proposal));
        assert.is(plan.problems.length, 1);
        const work = fleet.finish(applyChange(port, { proposal, baseVersion: 1, operation: "second" }));
        assert.instance(await rejection(work), InvalidConfigurationError);
    };
    await rejected(({ organisations }) => organisations[0]!.keys[0]!.secretSha256 = "0".repeat(64));
    await rejected(({ organisations }) => organisations[1]!.keys.push(organisations[0]!.keys.pop()!));
    await fleet.finish(port.put("withdrawals", { keys: ["paws-9"] }, 0));
    await rejected(({ organisations }) =>
        organisations[0]!.keys.push({ ...organisations[0]!.keys[0]!, id: "paws-9" as never })
    );
    assert.is(fleet.platform.peek("config")!.version, 1);
});

// Guards against an object above the platform's limit, on which every later change would fail.
test("a configuration above 1 MB is rejected before it is written", async () => {
    const { fleet, port } = await setUp();
    const proposal = proposalWithRate(2);
    const [route] = proposal.routes;
    const routes = Array.from(
        { length: 10_000 },
        (_, index) => ({ ...route!, id: `r${index}` as never, path: `/${index}` }),
    );
    const change = { proposal: { ...proposal, routes }, baseVersion: 1, operation: "second" };
    const error = await rejection(fleet.finish(applyChange(port, change)));
    assert.match((error as Error).message, /has \d{7} bytes/);
    assert.is(utf8ByteLength("aé€😀"), 10);
});

// Guards against a malformed object that is treated as an empty one and overwritten.
test("a malformed object stops plan and apply", async () => {
    const { fleet, port, apply } = await setUp();
    await fleet.finish(port.put("config", { revision: "x" }, 1));
    assert.instance(await rejection(apply(2, 2, "second")), InvalidConfigurationError);
    assert.instance(await rejection(fleet.finish(planChange(port, proposalWithRate(2)))), InvalidConfigurationError);
});

test.run();
