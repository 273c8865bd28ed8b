/** Replaces node:assert in the bundle, with only the function that its libraries use. */
module.exports = function assert(holds, message) {
  if (!holds) throw message instanceof Error ? message : new Error(message ?? "An assertion does not hold.");
};
