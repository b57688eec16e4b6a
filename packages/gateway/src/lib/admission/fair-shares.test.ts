import { id } from "@sniperoad/core";
import type { OrganisationId } from "@sniperoad/core";
import { VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FairShares } from "./fair-shares.js";

const [small, large, greedy, unknown] = ["small", "large", "greedy", "unknown"].map(name => id<OrganisationId>(name));

/** Requests per second that are admitted, by organisation, of those that are offered. */
const admitted = (
    offered: Readonly<Record<string, number>>,
    declared: Readonly<Record<string, number>>,
    of: number,
) => {
    const demands = Object.keys(offered).map(name => ({
        id: id<OrganisationId>(name),
        declaredPerSecond: declared[name] ?? 0,
        offeredPerSecond: offered[name]!,
    }));
    const shares = new FairShares({ clock: new VirtualClock(), demands: () => demands });
    const level = -Math.log(of);
    return demands.map(demand =>
        Math.round(100 * demand.offeredPerSecond * Math.exp(-shares.levelOf(demand.id, level))) / 100
    );
};

// Guards against an organisation with many times its load that displaces the others.
test("organisations within their share keep all of it, and what they leave goes to the others", () => {
    const declared = { small: 100, large: 100, greedy: 100 };
    assert.equal(admitted({ small: 10, large: 30, greedy: 80 }, declared, 0.75), [10, 30, 50]);
    assert.equal(admitted({ small: 80, large: 80, greedy: 80 }, declared, 0.5), [40, 40, 40]);
});

test("shares are in proportion to the declared rates, and requests beyond a rate claim none", () => {
    assert.equal(admitted({ small: 50, large: 150 }, { small: 50, large: 150 }, 0.5), [25, 75]);
    // 100 of the 400 requests pass the rate limit, so the capacity for half of the 200 is divided.
    assert.equal(admitted({ small: 100, greedy: 400 }, { small: 100, greedy: 100 }, 0.5), [50, 200]);
});

test("without pressure, a declared rate or a known organisation nobody has a lower share", () => {
    assert.equal(admitted({ small: 10, greedy: 1_000 }, { small: 100, greedy: 2_000 }, 1), [10, 1_000]);
    assert.equal(admitted({ small: 10, greedy: 70 }, {}, 0.5), [10, 30]);
    const shares = new FairShares({ clock: new VirtualClock(), demands: () => [] });
    assert.equal([small, large, greedy, unknown, undefined].map(name => shares.levelOf(name, 0.4)), Array(5).fill(0.4));
});

test.run();
