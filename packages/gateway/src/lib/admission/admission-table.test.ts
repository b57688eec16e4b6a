import { test } from "uvu";
import * as assert from "uvu/assert";
import { formerDecisions } from "../testing/former-admission.js";
import { currentDecisions, withoutFairShares } from "../testing/instance-decisions.js";
import { overloads } from "../testing/overload-loads.js";
import { playOverload } from "../testing/overload-simulation.js";
import type { Served } from "../testing/overload-simulation.js";
import { rowsOf, tableHead, totalOf, valueOf } from "../testing/overload-table.js";

const rows = [tableHead];

const shareOf = (served: readonly Served[], route: string, key: "inTime" | "answered"): number => {
    const { asked, inTime, late } = totalOf(served.filter(entry => entry.route === route));
    return (key === "inTime" ? inTime : inTime + late) / asked;
};

/** Least gain of the value that callers get, by load; the others are not to lose any. */
const minGains: Readonly<Record<string, number>> = {
    "burst of long requests": 1.15,
    "burst of 1.7": 1.15,
    "burst, callers that retry at once": 1.15,
};

// Larger fleets are played by `npm run overload`.
for (const load of overloads(42, 24)) {
    // Guards against decisions that serve callers worse than constant thresholds, and a bound that is none.
    test(`${load.name}: callers get more than by constants and less than by an oracle`, async () => {
        const former = await playOverload(load, formerDecisions);
        const current = await playOverload(load, currentDecisions);
        const oracle = await playOverload(load, "oracle");
        rows.push(rowsOf(load.name, "former", former), rowsOf(load.name, "current", current));
        rows.push(rowsOf(load.name, "oracle", oracle));
        const [before, now, best] = [former, current, oracle].map(served => valueOf(served, load.routes));
        const text = JSON.stringify({ before, now, best, current, former });
        assert.ok(now! >= before! * (minGains[load.name] ?? 0.97), text);
        assert.ok(best! >= now!, text);
        // A route is answered at most 5 in 100 less often than a less urgent one.
        const routes = [...load.routes].sort((left, right) => left.rank - right.rank);
        const answered = routes.map(({ id }) => shareOf(current, id, "answered"));
        assert.ok(answered.every((share, index) => answered.slice(index).every(other => share > other - 0.05)), text);
        assert.ok(answered.every(share => share > 0.1), text);
    });
}

// Guards against long requests with a far deadline that take the room of short urgent ones.
test("short urgent requests beside a burst of long ones meet their objective more often than by constants", async () => {
    const load = overloads(96, 24)[0]!;
    const former = await playOverload(load, formerDecisions);
    const current = await playOverload(load, currentDecisions);
    const shares = [former, current].map(served => shareOf(served, "short", "inTime"));
    assert.ok(shares[1]! >= 1.25 * shares[0]!, shares.join(" "));
    assert.ok(shareOf(current, "short", "answered") >= 0.9);
});

// Guards against an organisation with many times its usual load that displaces the others.
test("other organisations are served better beside one at 7.5 times its rate with shares than without", async () => {
    const load = overloads(96, 24).find(({ name }) => name.startsWith("an organisation"))!;
    const others = (served: readonly Served[]) =>
        totalOf(served.filter(({ organisation }) => organisation !== "org-1"));
    const without = others(await playOverload(load, withoutFairShares));
    const current = others(await playOverload(load, currentDecisions));
    const text = JSON.stringify({ without, current });
    assert.ok(current.inTime >= 1.15 * without.inTime, text);
    assert.ok(current.refused + current.lost <= 0.02 * current.asked, text);
});

test.after(() => console.log(rows.join("\n")));

test.run();
