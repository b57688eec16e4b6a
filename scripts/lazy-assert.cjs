// Replaces node:assert in the bundle: loading it also opens standard error, and it is only needed when an assertion
// fails. The name without a scheme is not replaced.
const assert = (value, message) => {
    if (!value) {
        require("assert")(value, message);
    }
};
for (const name of ["ok", "equal", "strictEqual", "notStrictEqual", "deepStrictEqual", "fail"]) {
    Object.defineProperty(assert, name, { get: () => require("assert")[name] });
}

module.exports = assert;
