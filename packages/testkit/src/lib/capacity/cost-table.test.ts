import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CostRow } from "./cost-table.js";
import { costTable, formatNumber, projected } from "./cost-table.js";

const row = (overrides: Partial<CostRow> = {}): CostRow => ({
    name: "heartbeat bytes",
    mechanism: "membership.heartbeat",
    per: "instance",
    unit: "bytes",
    sizes: [44, 200],
    fullSize: 3_700,
    line: { slope: 150, base: 20, noise: 0 },
    ...overrides,
});

// Guards against cells that no longer match their column headings.
test("a row of the table", () => {
    const [head, , line] = costTable([row()]).split("\n");
    assert.is(head!.split("|").length, line!.split("|").length);
    assert.is(
        line,
        "| heartbeat bytes | membership.heartbeat | instance | bytes | 44, 200 | 150 | 0 | 20 | 3,700 | 555,000 |",
    );
});

// Guards against a number on the page without a mechanism in the code.
test("a row without a mechanism is rejected", () => {
    assert.throws(() => costTable([row({ mechanism: " " })]), /names no mechanism/);
});

// Guards against a projection below the cost of the slope because a fit is negative at size 0.
test("a negative base counts as zero", () => {
    assert.is(projected(row({ line: { slope: 2, base: -50, noise: 0 } }), 100), 200);
});

// Guards against false precision and exponents on the page.
test("numbers keep three digits", () => {
    assert.equal([12_345.6, 0.0123456, 0, 7].map(formatNumber), ["12,300", "0.0123", "0", "7"]);
});

test.run();
