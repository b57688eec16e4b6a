import { test } from "uvu";
import * as assert from "uvu/assert";
import { seededRandom } from "../testing/index.js";
import { id } from "../types.js";
import type { ZoneId } from "../types.js";
import { directoryResponse } from "./directory.js";
import type { DirectoryMember } from "./directory.js";

const member = (index: number, changes: Partial<DirectoryMember> = {}): DirectoryMember => ({
    address: `m${index}`,
    zone: id<ZoneId>(`z${index % 3}`),
    load: 0.2,
    isLeaving: false,
    isCurrent: true,
    ...changes,
});
const members = (changes: (index: number) => Partial<DirectoryMember> = () => ({})) =>
    Array.from({ length: 9 }, (_, index) => member(index, changes(index)));

interface NamedCase {
    readonly name: string;
    readonly members: readonly DirectoryMember[];
    /** Addresses that any answer may name. */
    readonly named: readonly string[];
}

const cases: readonly NamedCase[] = [
    { name: "leaving", members: members(index => ({ isLeaving: index > 1 })), named: ["m0", "m1"] },
    { name: "not current", members: members(index => ({ isCurrent: index === 4 })), named: ["m4"] },
    { name: "overloaded", members: members(index => ({ load: index < 2 ? 0.3 : 0.95 })), named: ["m0", "m1"] },
    { name: "all overloaded", members: [member(0, { load: 1 }), member(1, { load: 1 })], named: ["m0", "m1"] },
    { name: "none", members: [], named: [] },
];

for (const { name, members: listed, named } of cases) {
    // Guards against callers that are sent to instances which would refuse them.
    test(`directory: ${name}`, () => {
        const random = seededRandom(1);
        const seen = new Set(
            Array.from({ length: 100 }, () => directoryResponse(listed, { random }).addresses).flat(),
        );
        assert.equal([...seen].sort(), named);
    });
}

// Guards against answers that hang on one zone, and against cross-zone traffic without need.
test("the caller's zone comes first, one address is elsewhere", () => {
    const random = seededRandom(2);
    for (let index = 0; index < 50; index++) {
        const { addresses } = directoryResponse(members(), { random, zone: id<ZoneId>("z1") });
        assert.equal(addresses.slice(0, 3).sort(), ["m1", "m4", "m7"]);
        assert.is(new Set(addresses).size, 4);
    }
});

// Guards against answers that all callers drop at the same moment, and against a loaded instance named as often.
test("first addresses spread by spare capacity", () => {
    const random = seededRandom(3);
    const listed = members(index => ({ load: index === 0 ? 0.8 : 0.2 }));
    const answers = Array.from({ length: 4_000 }, () => directoryResponse(listed, { random }));
    const first = (address: string) => answers.filter(answer => answer.addresses[0] === address).length;
    assert.ok(first("m0") < first("m1") / 2);
    assert.ok(first("m0") > 0);
    assert.ok(new Set(answers.map(answer => answer.keepMs)).size > 100);
});

test.run();
