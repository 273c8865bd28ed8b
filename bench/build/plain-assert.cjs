/** What libraries of the bundle use of node:assert. */
module.exports = function assert(holds, message) {
  if (!holds) throw message instanceof Error ? message : new Error(message ?? "An assertion does not hold.");
};
