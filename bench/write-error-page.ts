/** `npm run docs:errors`: writes docs/ERRORS.md from the table of error kinds. */
import { writeFile } from "node:fs/promises";
import { ERROR_KINDS } from "../src/errors/error-kinds.ts";

const PAGE_HEADER = `# Errors

Written by \`npm run docs:errors\` from \`src/errors/error-kinds.ts\`; a test compares the two.

Every refusal is a problem document (RFC 9457) with the members \`kind\`, \`outcome\`, \`detail\`, \`remedy\`, \`retriable\`
and, where waiting helps, \`retryAfterMs\` beside the \`Retry-After\` header.

- \`not-run\`: the request did not run and never will. The refusal was committed before it was said.
- \`failed\`: the request ran, at least in part, and has no answer. A completion left nothing in the history.
- \`unknown\`: whether it ran cannot be known here. A request that may not be repeated must not be.

A particular case may carry another outcome than its kind's; the document always says which.

| kind | status | outcome | title | remedy |
|---|---|---|---|---|
`;

const rows = Object.entries(ERROR_KINDS).map(
  ([kind, { status, outcome, title, remedy }]) =>
    `| \`${kind}\` | ${status} | ${outcome} | ${title} | ${remedy} |`,
);
await writeFile("docs/ERRORS.md", `${PAGE_HEADER}${rows.join("\n")}\n`);
