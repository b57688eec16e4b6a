import { readdirSync, readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";

const root = new URL("../../../../", import.meta.url);

/** Source code that contains the names of events and metrics. */
const source = ["packages/gateway/src/", "platform/src/"].flatMap(name => {
    const folder = new URL(name, root);
    return readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter(file => file.endsWith(".ts") && !file.endsWith(".test.ts") && !file.includes("testing/"))
        .map(file => readFileSync(new URL(file, folder), "utf8").replace(/^ *\*.*$/gm, ""));
}).join("\n");

const page = (name: string): string =>
    readFileSync(new URL(`docs/${name}.md`, root), "utf8").split("## Instances on the platform")[1] ?? "";

const namesIn = (text: string, pattern: RegExp): readonly string[] =>
    [...new Set([...text.matchAll(pattern)].map(match => match[1]!))].sort();

// Guards against an event that operators cannot look up.
test("the operations page lists each event", () => {
    const used = namesIn(source, /log\.event\(\s*"([^"]+)"/g);
    assert.ok(used.length > 15);
    const missing = used.filter(name => !page("OPERATIONS").includes(`\`${name}\``));
    assert.equal(missing, []);
});

// Guards against a metric that operators cannot look up.
test("the metrics page lists each metric", () => {
    const used = namesIn(source, /"(sniperoad_[a-z_]+)"/g);
    assert.equal(namesIn(page("metrics"), /^\| `([a-z_]+)` \|/gm), used);
});

test.run();
