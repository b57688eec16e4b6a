import { readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { id } from "../types.js";
import type { RequestId } from "../types.js";
import { problemAnswer, refusalTypes } from "./refusals.js";

const referencePage = readFileSync(new URL("../../../../../docs/refusals.md", import.meta.url), "utf8");

// Guards against a refusal that is not documented, or whose documented status differs from the real one.
test("the page lists each refusal with its status, and no other", () => {
    const rows = [...referencePage.matchAll(/^\| `([a-z-]+)` \| (\d{3}) \|/gm)].map(([, type, status]) =>
        `${type} ${status}`
    );
    const expected = refusalTypes.map(type =>
        `${type} ${problemAnswer({ type, outcome: "not-run" }, id<RequestId>("r-1")).status}`
    );
    assert.equal(rows.sort(), expected.sort());
});

test.run();
