// Replaces classes and functions in the bundle that an instance does not use.
module.exports = class Unused {};
