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

interface DirectoryCase {
    readonly name: string;
    readonly members: readonly DirectoryMember[];
    /** Addresses that the directory may return. */
    readonly expected: readonly string[];
}

const cases: readonly DirectoryCase[] = [
    { name: "leaving", members: members(index => ({ isLeaving: index > 1 })), expected: ["m0", "m1"] },
    { name: "not current", members: members(index => ({ isCurrent: index === 4 })), expected: ["m4"] },
    { name: "overloaded", members: members(index => ({ load: index < 2 ? 0.3 : 0.95 })), expected: ["m0", "m1"] },
    { name: "all overloaded", members: [member(0, { load: 1 }), member(1, { load: 1 })], expected: ["m0", "m1"] },
    { name: "none", members: [], expected: [] },
];

for (const { name, members: listed, expected } of cases) {
    // Guards against directing callers to instances that would refuse them.
    test(`directory: ${name}`, () => {
        const random = seededRandom(1);
        const seen = new Set(
            Array.from({ length: 100 }, () => directoryResponse(listed, { random }).addresses).flat(),
        );
        assert.equal([...seen].sort(), expected);
    });
}

// Guards against responses that depend on a single zone, and against unnecessary cross-zone traffic.
test("the caller's zone comes first, one address is in another zone", () => {
    const random = seededRandom(2);
    for (let index = 0; index < 50; index++) {
        const { addresses } = directoryResponse(members(), { random, zone: id<ZoneId>("z1") });
        assert.equal(addresses.slice(0, 3).sort(), ["m1", "m4", "m7"]);
        assert.is(new Set(addresses).size, 4);
    }
});

// Guards against responses that expire at the same time for all callers, and against ignoring the load of instances.
test("first addresses are distributed by spare capacity", () => {
    const random = seededRandom(3);
    const listed = members(index => ({ load: index === 0 ? 0.8 : 0.2 }));
    const responses = Array.from({ length: 4_000 }, () => directoryResponse(listed, { random }));
    const first = (address: string) => responses.filter(response => response.addresses[0] === address).length;
    assert.ok(first("m0") < first("m1") / 2);
    assert.ok(first("m0") > 0);
    assert.ok(new Set(responses.map(response => response.keepMs)).size > 100);
});

test.run();
