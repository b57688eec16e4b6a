import { test } from "uvu";
import * as assert from "uvu/assert";
import { formerDecisions } from "../testing/former-admission.js";
import { currentDecisions } from "../testing/instance-decisions.js";
import { overloads } from "../testing/overload-loads.js";
import { playOverload } from "../testing/overload-simulation.js";
import { rowsOf, tableHead, totalOf } from "../testing/overload-table.js";

const rows = [tableHead];

// Larger fleets are played by `npm run overload`.
for (const load of overloads(42, 24)) {
    // Guards against decisions that serve callers worse than the former ones, and a bound that is none.
    test(`${load.name}: the decisions lie between the former ones and the oracle`, async () => {
        const policies = { former: formerDecisions, current: currentDecisions, oracle: "oracle" } as const;
        const former = await playOverload(load, policies.former);
        const current = await playOverload(load, policies.current);
        const oracle = await playOverload(load, policies.oracle);
        rows.push(rowsOf(load.name, "former", former), rowsOf(load.name, "current", current));
        rows.push(rowsOf(load.name, "oracle", oracle));
        const [before, now, best] = [former, current, oracle].map(totalOf);
        const text = JSON.stringify({ before, now, best });
        assert.ok(now!.inTime >= 0.97 * before!.inTime, text);
        assert.ok(best!.inTime >= now!.inTime, text);
    });
}

test.after(() => console.log(rows.join("\n")));

test.run();
