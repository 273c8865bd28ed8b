/** Host and path prefixes of the routes in the sample configuration. */
export const SAMPLE_ROUTES = { host: "sample.example", turnPath: "/turn/", callPath: "/call/" } as const;
