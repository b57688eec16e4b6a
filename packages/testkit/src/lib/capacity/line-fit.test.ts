import { test } from "uvu";
import * as assert from "uvu/assert";
import { fitLine, fitRepetitions, median } from "./line-fit.js";

const onLine = (slope: number, base: number, sizes = [1, 10, 100]) =>
    sizes.map(size => ({ size, value: base + slope * size }));

// Guards against a projection that counts the fixed cost for each instance.
test("exact points yield slope and base", () => {
    const { slope, base } = fitLine(onLine(3, 7));
    assert.ok(Math.abs(slope - 3) < 1e-9 && Math.abs(base - 7) < 1e-9);
});

// Guards against a slope of NaN or Infinity in the table.
test("a single size is rejected", () => {
    assert.throws(() => fitLine([{ size: 4, value: 1 }, { size: 4, value: 2 }]), /two sizes/);
    assert.throws(() => fitRepetitions([]), /at least one repetition/);
});

// Guards against one disturbed repetition that changes the reported slope.
test("a disturbed repetition changes the noise and not the slope", () => {
    const line = fitRepetitions([onLine(2, 0), onLine(2.2, 0), onLine(20, 0), onLine(1.8, 0), onLine(2.1, 0)]);
    assert.ok(Math.abs(line.slope - 2.1) < 1e-9);
    assert.ok(Math.abs(line.noise - 18.2) < 1e-9);
});

// Guards against a median that depends on the order, or that is wrong for an even count.
test("median of even and odd counts", () => {
    assert.is(median([9, 1, 5]), 5);
    assert.is(median([4, 1, 3, 2]), 2.5);
});

test.run();
