import { bySchema, readSettings } from "@sniperoad/operator";
import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { settingsSchema } from "./settings.js";

const root = new URL("../../../../", import.meta.url);
/** The part of a page about this daemon; the gateway package tests the part about its own program. */
const page = (name: string): string =>
    readFileSync(new URL(`docs/${name}.md`, root), "utf8").split("## Instances on the platform")[0]!;

/** Source code that contains the names of events and metrics. */
const source = ["core", "daemon"].flatMap(name => {
    const folder = new URL(`packages/${name}/src/`, root);
    return readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter(file => file.endsWith(".ts") && !file.endsWith(".test.ts") && !/\/(testing|fixtures)\//.test(file))
        .map(file => readFileSync(new URL(file, folder), "utf8").replace(/^ *\*.*$/gm, ""));
}).join("\n");

const namesIn = (text: string, pattern: RegExp): readonly string[] =>
    [...new Set([...text.matchAll(pattern)].map(match => match[1]!))].sort();

// Guards against a metric that operators cannot look up.
test("the metrics page lists each metric", () => {
    const used = namesIn(source, /metrics\.(?:increment|timing|gauge)\(\s*"([^"]+)"/g);
    assert.ok(used.length > 10);
    assert.equal(namesIn(page("metrics").split("## Alerts")[0]!, /^\| `([a-z._]+)` \|/gm), used);
});

// Guards against an event that operators cannot look up.
test("the operations page lists each event", () => {
    const used = namesIn(source, /(?:\.event|#log)\(\s*"([^"]+)"/g);
    assert.ok(used.length > 30);
    assert.equal(namesIn(page("OPERATIONS").split("## Log lines")[1]!, /^\| `([a-z._-]+)` \|/gm), used);
});

// Guards against a setting without a description, and against an example that the program rejects.
test("the operations page and the example list each setting", async () => {
    const settings = Object.keys(settingsSchema.shape).sort();
    const table = page("OPERATIONS").split("## Stop and roll")[0]!;
    assert.equal(namesIn(table, /^\| `([a-zA-Z]+)/gm), settings);
    const file = fileURLToPath(new URL("packages/daemon/examples/instance.jsonc", root));
    assert.equal(Object.keys(await readSettings(file, bySchema(settingsSchema))).sort(), settings);
});

test.run();
