/** Directions of dependencies: cli, then the daemons, then scheduling, then coordination; nothing points back. */
module.exports = {
  forbidden: [
    {
      name: "coordination-stands-alone",
      comment: "Coordination parts are embedded by others: they know nothing of scheduling, daemons or I/O.",
      severity: "error",
      from: { path: "^src/coordination" },
      to: { path: "^(src/(?!coordination)|platform|standins|bench|node:)" },
    },
    {
      name: "scheduling-is-pure",
      comment: "Scheduling knows coordination and the kinds of errors, and no I/O.",
      severity: "error",
      from: { path: "^src/scheduling" },
      to: { path: "^(src/(?!scheduling|coordination|errors)|platform|standins|bench)" },
    },
    {
      name: "no-node-modules-in-pure-code",
      comment: "Pure code uses no module of Node.js.",
      severity: "error",
      from: { path: "^src/(coordination|scheduling)" },
      to: { dependencyTypes: ["core"] },
    },
    {
      name: "daemons-do-not-know-the-command-line",
      severity: "error",
      from: { path: "^src/(node|gateway|runtime|ports|messages|settings|telemetry|errors)" },
      to: { path: "^src/cli" },
    },
    {
      name: "ingress-stands-alone",
      comment:
        "The side towards callers reaches programs through messages, also on the node that leads them.",
      severity: "error",
      from: { path: "^src/node/ingress/" },
      to: { path: "^src/node/", pathNot: "^src/node/ingress/" },
    },
    {
      name: "product-does-not-know-stand-ins",
      comment: "Only the demo runs stand-ins.",
      severity: "error",
      from: { path: "^src", pathNot: "^src/cli/demo" },
      to: { path: "^(standins|bench|test)" },
    },
    {
      name: "only-platform-knows-the-platform",
      comment: "The adapter is wired by its own entry; the product sees interfaces.",
      severity: "error",
      from: { path: "^(src|standins)" },
      to: { path: "^platform" },
    },
    {
      name: "platform-translates-only",
      comment: "The adapter knows interfaces and the start of a gateway, none of its parts.",
      severity: "error",
      from: { path: "^platform" },
      to: {
        path: "^src",
        pathNot:
          "^src/(ports|runtime/clock|scheduling/(routing|runner-balancing|ids)/|gateway/(run-gateway|gateway-settings|gateway-context))",
      },
    },
    {
      name: "no-circles",
      severity: "error",
      from: {},
      to: { circular: true, viaOnly: { dependencyTypesNot: ["type-only"] } },
    },
  ],
  options: {
    doNotFollow: { path: "node_modules" },
    tsPreCompilationDeps: true,
    tsConfig: { fileName: "tsconfig.json" },
    enhancedResolveOptions: { extensions: [".ts", ".js", ".json"] },
  },
};
