import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CostRow } from "./cost-table.js";
import { controlTotal, CostModel, roles } from "./roles.js";
import { cellSize, fullSize, todaySize } from "./sizes.js";

/** Returns the same line for every row. */
class UniformCostModel extends CostModel {
    override slope(): number {
        return 2;
    }

    override at(_name: string, size: number): number {
        return 10 + 2 * size;
    }
}

const model = new UniformCostModel([]);

// Guards against a role on the page without a mechanism or whose numbers cannot be verified.
test("each role names state, mechanism and arithmetic", () => {
    assert.ok(roles.length > 0);
    roles.forEach(({ name, state, mechanism, arithmetic }) =>
        [name, state, mechanism, arithmetic].forEach(text => assert.not.equal(text.trim(), "", name))
    );
});

// Guards against NaN or negative costs at one of the sizes, for example through a division by zero services.
test("costs are finite and not negative at each size", () => {
    for (const size of [todaySize, cellSize, fullSize]) {
        for (const { name, cost } of roles) {
            Object.values(cost(size, model)).forEach(value => assert.ok(value >= 0 && Number.isFinite(value), name));
        }
    }
});

// Guards against an error in the example on the page: 2.5 heartbeats a second to and from 43 peers.
test("messages and bytes of a member", () => {
    const { messages, bytes } = roles.find(({ name }) => name === "member")!.cost(todaySize, model);
    assert.is(messages, 215);
    assert.is(bytes, 2.5 * (10 + 2 * 44));
});

// Guards against counting coordinators and requests in the sum for every instance.
test("the sum includes only the control roles of every instance", () => {
    const expected = roles.filter(({ kind }) => kind === "control")
        .reduce((sum, { cost }) => sum + cost(fullSize, model).bytes, 0);
    assert.is(controlTotal(fullSize, model).bytes, expected);
});

// Guards against a role that counts a row as zero because its name has changed.
test("an unknown row is rejected", () => {
    const known: CostRow = {
        name: "known",
        mechanism: "m",
        per: "instance",
        unit: "us",
        sizes: [1, 2],
        fullSize: 10,
        line: { slope: 1, base: -5, noise: 0 },
    };
    assert.is(new CostModel([known]).at("known", 3), 3);
    assert.throws(() => new CostModel([known]).slope("other"), /no row "other"/);
});

test.run();
