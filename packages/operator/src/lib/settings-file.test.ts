import { InvalidConfigurationError } from "@sniperoad/core";
import { test } from "uvu";
import * as assert from "uvu/assert";
import * as z from "zod";
import { bySchema, parseSettings, readSettings } from "./settings-file.js";

const schema = z.strictObject({
    listen: z.string().regex(/^[\d.]+:\d+$/, "use an address and a port, such as 10.0.0.1:8080"),
    limits: z.strictObject({ timeoutMs: z.number().int().min(1).max(1000) }),
    zones: z.array(z.enum(["a", "b"])).min(1),
});
const validate = bySchema(schema);
const validText = `{
    // where callers connect
    "listen": "127.0.0.1:80",
    "limits": { "timeoutMs": 5 }, /* short */
    "zones": ["a",],
}`;

const invalidFiles: readonly (readonly [text: string, expected: RegExp])[] = [
    ["", /^f:1: \(whole file\): .*; write a/],
    ["// nothing\n", /^f:\d: \(whole file\): /],
    ["[]", /^f:1: \(whole file\): the value has the wrong type; give it a value of type object/],
    ["null", /^f:1: \(whole file\): /],
    ["{", /^f:1: .*CloseBraceExpected/],
    [validText.replace('"127.0.0.1:80",', '"127.0.0.1:80"'), /^f:4: .*CommaExpected.*; put a comma/],
    [validText.replace(':80"', ":80"), /^f:3: .*UnexpectedEndOfString.*; close the string/],
    [`${validText}\n{}`, /^f:7: .*EndOfFileExpected.*; remove what follows/],
    [validText.replace('"limits"', "limits"), /^f:4: /],
    [validText.replace("127.0.0.1:80", "here"), /^f:3: listen: .*; use an address and a port/],
    [validText.replace("5 }", "0 }"), /^f:4: limits\.timeoutMs: the value is too small; use at least 1$/],
    [validText.replace("5 }", "1001 }"), /^f:4: limits\.timeoutMs: the value is too large; use at most 1000$/],
    [validText.replace("5 }", '"5" }'), /^f:4: limits\.timeoutMs: the value has the wrong type; .*number$/],
    [validText.replace('"timeoutMs": 5', ""), /^f:4: limits\.timeoutMs: the field is missing; /],
    [validText.replace('"timeoutMs"', '"timeout": 1, "timeoutMs"'), /^f:4: limits\.timeout: the field is unknown; /],
    [validText.replace('"zones"', '"__proto__": {}, "zones"'), /^f:5: __proto__: the field is unknown; /],
    [validText.replace('"zones"', '"listen": "0.0.0.0:1",\n"zones"'), /^f:5: listen: the field is duplicated/],
    [validText.replace('["a",]', '["a",\n"c"]'), /^f:6: zones\[1\]: .*; use one of a, b$/],
    [validText.replace('["a",]', "[]"), /^f:5: zones: the value is too small; use at least 1$/],
];

const messageOf = (text: string): string => {
    try {
        return `accepted ${JSON.stringify(parseSettings(text, "f", validate))}`;
    }
    catch (error) {
        assert.instance(error, InvalidConfigurationError);
        return (error as Error).message;
    }
};

// Guards against errors without file, line, field or remedy.
test("each malformed file is rejected with line, field and remedy", () => {
    for (const [text, expected] of invalidFiles) {
        assert.match(messageOf(text).split("\n")[0]!, expected, text);
    }
});

// Guards against reporting only the first problem of a file.
test("all problems of a file are reported", () => {
    const text = validText.replace("5 }", "0 }").replace('"a"', '"c"');
    assert.is(messageOf(text).split("\n").length, 2);
});

// Guards against a parser that rejects comments, trailing commas or a byte order mark.
test("comments, trailing commas and a byte order mark are allowed", () => {
    const expected = { listen: "127.0.0.1:80", limits: { timeoutMs: 5 }, zones: ["a"] };
    assert.equal(parseSettings(`\uFEFF${validText}`, "f", validate), expected);
});

// Guards against an unhandled system error when a file is missing.
test("a missing file causes an error with a remedy", async () => {
    try {
        await readSettings("/nonexistent/f", validate);
        assert.unreachable();
    }
    catch (error) {
        assert.match((error as Error).message, /^\/nonexistent\/f:1: .*ENOENT.*; check its path/);
    }
});

test.run();
